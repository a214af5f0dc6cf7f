package org.cuminshelf.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineModel;

/**
 * What a millisecond of an engine's time is worth, in requests, for each service and way of reading.
 *
 * <p>Where engines idle their time costs nothing, and where all are taken a millisecond for one prompt is one that
 * others wait: then it is worth the requests that could be served in it. In between the price follows the part of the
 * engines that have prompts under way, as a mean over the last second.
 */
final class EnginePrices {

    private static final double MEMORY_NANOS = Durations.nanos(1_000);
    /** Weight of one prompt in the mean of the last fifty. */
    private static final double WORK_WEIGHT = 0.02;
    /** Milliseconds of a usual prompt before any was placed. */
    private static final double FIRST_WORK_MILLIS = 60;

    private static final class Price {
        private double busyReading;
        private double busyGenerating;
        private double workMillis = FIRST_WORK_MILLIS;
        private long observedAt;
    }

    private final Map<String, Price> prices = new HashMap<>();

    /** Looks at which engines have prompts under way. */
    void observe(long now, String service, Collection<UpstreamRow> engines, EngineModel model) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        double weight = 1 - Math.exp(-(now - price.observedAt) / MEMORY_NANOS);
        price.observedAt = now;
        price.busyReading += weight * (busyShare(now, engines, model, false) - price.busyReading);
        price.busyGenerating += weight * (busyShare(now, engines, model, true) - price.busyGenerating);
    }

    private static double busyShare(long now, Collection<UpstreamRow> engines, EngineModel model, boolean generates) {
        int count = 0;
        int busy = 0;
        for (UpstreamRow row : engines) {
            if (row.generates() == generates) {
                count++;
                busy += row.prompts.waitMillis(now, model.latencyMillis(row.id, generates)) > 0 ? 1 : 0;
            }
        }
        return count == 0 ? 0 : (double) busy / count;
    }

    /** Notes what a prompt takes that was placed. */
    void placed(String service, double workMillis) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        price.workMillis += WORK_WEIGHT * (workMillis - price.workMillis);
    }

    /** The price of a millisecond of an engine that generates, or of one that only reads prompts. */
    double ofMillisecond(String service, boolean generates) {
        Price price = prices.get(service);
        if (price == null) {
            return 0;
        }
        return (generates ? price.busyGenerating : price.busyReading) / price.workMillis;
    }
}
