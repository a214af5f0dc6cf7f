package org.cuminshelf.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineLatencyModel;

/**
 * What a millisecond of an engine's time is worth, in requests, for each service and way of reading.
 *
 * <p>Where an engine is free its time costs nothing, as the next prompt goes there. Where all have prompts under way, a
 * millisecond for one is one that others wait: then it is worth the requests that could be served in it. The price
 * follows how long the engine has prompts under way that will be free first. With the part of the engines that are
 * taken as the price, prompts waited 0.4 s at the engine that held their parts while others idled.
 */
final class EngineTimePrices {

    /**
     * Milliseconds of prompts at each engine at which its time is worth as much as it can be: with queues of 600 ms a
     * fifth of the answered prompts of heavy days were late, with 150 ms a twentieth. Targets are 200 ms and more.
     */
    private static final double LONGEST_WAIT_MILLIS = 150;

    private static final double MEMORY_NANOS = Durations.nanos(1_000);
    /** Weight of one prompt in the mean of the last fifty. */
    private static final double WORK_WEIGHT = 0.02;
    /** Part of an engine's places up to which they are not short. */
    private static final double FREE_SHARE = 0.4;
    /** Part of them at which no more streams are sent there. */
    private static final double FULL_SHARE = 0.85;
    /** Milliseconds of a usual stream before any was asked for. */
    private static final double FIRST_RUNNING_MILLIS = 1_500;
    /** Milliseconds of a usual prompt before any was placed. */
    private static final double FIRST_WORK_MILLIS = 60;

    /**
     * How scarce the time of one role's engines is: as a mean, and at this moment. A burst fills the engines within
     * milliseconds; a mean alone would let in all of it, and all of it would come late.
     */
    private static final class Scarcity {
        private double mean;
        private double last;

        private void observe(double value, double weight) {
            mean += weight * (value - mean);
            last = value;
        }

        private double now() {
            return Math.max(mean, last);
        }
    }

    private static final class Price {
        private final Scarcity reading = new Scarcity();
        private final Scarcity generating = new Scarcity();
        private double workMillis = FIRST_WORK_MILLIS;
        private double runningMillis = FIRST_RUNNING_MILLIS;
        private long observedAt;
    }

    private final Map<String, Price> prices = new HashMap<>();

    /** Looks at which engines have prompts under way. */
    void updateScarcity(long now, String service, Collection<UpstreamInstance> engines, EngineLatencyModel model) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        double weight = 1 - Math.exp(-(now - price.observedAt) / MEMORY_NANOS);
        price.observedAt = now;
        price.reading.observe(scarcity(now, engines, model, false), weight);
        price.generating.observe(scarcity(now, engines, model, true), weight);
    }

    /** How scarce a role's time is: 0 if an engine is free, 1 if prompts wait for too long at the one freed first. */
    private static double scarcity(
            long now, Collection<UpstreamInstance> engines, EngineLatencyModel model, boolean generates) {
        double least = Double.MAX_VALUE;
        for (UpstreamInstance row : engines) {
            if (row.generatesTokens() == generates) {
                least = Math.min(least, row.pendingPrompts.waitMillis(now, model.latencyMillis(row.id, generates)));
            }
        }
        return least == Double.MAX_VALUE ? 0 : Math.clamp(least / LONGEST_WAIT_MILLIS, 0, 1);
    }

    /** Notes what a prompt takes that was placed. */
    void recordPrefill(String service, double workMillis) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        price.workMillis += WORK_WEIGHT * (workMillis - price.workMillis);
    }

    /** Notes how long a stream takes a place. */
    void recordGeneration(String service, double millis) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        price.runningMillis += WORK_WEIGHT * (millis - price.runningMillis);
    }

    /** The price of a millisecond for which a prompt takes up an engine. */
    double perMillisecond(String service, UpstreamInstance engine) {
        Price price = prices.get(service);
        if (price == null) {
            return 0;
        }
        return engine.generatesTokens()
                ? price.generating.now() / price.workMillis + ofDelayedStreams(price, engine)
                : price.reading.now() / price.workMillis;
    }

    /**
     * What a millisecond of reading takes from the streams beside it: each of them holds its place for that much
     * longer, and where places are short that is a part of a stream that could have run in it. Without it engines full
     * of streams took in prompts until all places were taken. At six engines it brought 0.015 of the mean worth of five
     * heavy days, at thirteen nothing either way.
     */
    private static double ofDelayedStreams(Price price, UpstreamInstance engine) {
        double share = (double) engine.totalAttempts() / engine.slots;
        double scarcity = Math.clamp((share - FREE_SHARE) / (FULL_SHARE - FREE_SHARE), 0, 1);
        return scarcity * engine.totalAttempts() / Math.max(FIRST_WORK_MILLIS, price.runningMillis);
    }
}
