package org.cuminshelf.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineLatencyModel;

/**
 * Price of a millisecond of an engine's time, in requests, for each service and kind of prefill.
 *
 * <p>While an engine is idle its time costs nothing, as the next prompt can be sent there. While all engines have
 * queued prompts, a millisecond spent on one prompt delays others, and is worth the requests that could be served in
 * it. The price follows the backlog of the engine that becomes free first. A price that followed the share of busy
 * engines made prompts wait 0.4 s at the engine that had cached their segments while other engines were idle.
 */
final class EngineTimePrices {

    /**
     * Prefill backlog of every engine at which the price reaches its maximum: with queues of 600 ms a fifth of the
     * answered prompts of heavy days were late, with 150 ms a twentieth. Latency targets are 200 ms and more.
     */
    private static final double FULL_PRICE_BACKLOG_MILLIS = 150;

    /** Time constant of the mean scarcity. */
    private static final double SMOOTHING_NANOS = Durations.nanos(1_000);
    /** Weight of one sample in the moving averages: a window of about fifty samples. */
    private static final double SAMPLE_WEIGHT = 0.02;
    /** Share of an engine's slots in use up to which slots are not scarce. */
    private static final double FREE_SLOT_SHARE = 0.4;
    /** Share of an engine's slots in use at which no more streams are sent there. */
    private static final double FULL_SLOT_SHARE = 0.85;
    /** Duration of a usual stream before the first sample. */
    private static final double INITIAL_GENERATION_MILLIS = 1_500;
    /** Prefill time of a usual prompt before the first sample. */
    private static final double INITIAL_PREFILL_MILLIS = 60;

    /**
     * Scarcity of the time of one role's engines, as a moving average and as the last value. A burst fills the engines
     * within milliseconds: with the average alone, all of it would be admitted and all of it would be late.
     */
    private static final class Scarcity {
        private double mean;
        private double latest;

        private void observe(double value, double weight) {
            mean += weight * (value - mean);
            latest = value;
        }

        private double now() {
            return Math.max(mean, latest);
        }
    }

    /** Scarcity and usual request durations of one service. */
    private static final class Price {
        private final Scarcity prefillScarcity = new Scarcity();
        private final Scarcity decodeScarcity = new Scarcity();
        private double prefillMillis = INITIAL_PREFILL_MILLIS;
        private double generationMillis = INITIAL_GENERATION_MILLIS;
        private long observedAt;
    }

    private final Map<String, Price> prices = new HashMap<>();

    /** Updates the scarcity of engine time from the prompts queued at the engines. */
    void updateScarcity(long now, String service, Collection<UpstreamInstance> engines, EngineLatencyModel model) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        double weight = 1 - Math.exp(-(now - price.observedAt) / SMOOTHING_NANOS);
        price.observedAt = now;
        price.prefillScarcity.observe(scarcity(now, engines, model, false), weight);
        price.decodeScarcity.observe(scarcity(now, engines, model, true), weight);
    }

    /**
     * Returns the scarcity of a role's engine time: 0 if an engine is idle, 1 if the shortest backlog is at least
     * {@link #FULL_PRICE_BACKLOG_MILLIS}. Engines that fail more than their peers are avoided and so are idle; they do
     * not make the time of the others cheap.
     */
    private static double scarcity(
            long now, Collection<UpstreamInstance> engines, EngineLatencyModel model, boolean generates) {
        List<UpstreamInstance> ofRole = engines.stream()
                .filter(engine -> engine.generatesTokens() == generates)
                .toList();
        double minBacklogMillis = UpstreamInstance.withoutOutliers(ofRole).stream()
                .mapToDouble(engine -> engine.pendingPrompts.waitMillis(now, model.latencyMillis(engine.id, generates)))
                .min()
                .orElse(0);
        return Math.clamp(minBacklogMillis / FULL_PRICE_BACKLOG_MILLIS, 0, 1);
    }

    /** Records the prefill time of a prompt for which an engine was selected. */
    void recordPrefill(String service, double prefillMillis) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        price.prefillMillis += SAMPLE_WEIGHT * (prefillMillis - price.prefillMillis);
    }

    /** Records how long a stream occupies a slot. */
    void recordGeneration(String service, double millis) {
        Price price = prices.computeIfAbsent(service, key -> new Price());
        price.generationMillis += SAMPLE_WEIGHT * (millis - price.generationMillis);
    }

    /** Returns the price of a millisecond of an engine spent on a prompt. */
    double perMillisecond(String service, UpstreamInstance engine) {
        Price price = prices.get(service);
        if (price == null) {
            return 0;
        }
        return engine.generatesTokens()
                ? price.decodeScarcity.now() / price.prefillMillis + perMillisecondOfStreams(price, engine)
                : price.prefillScarcity.now() / price.prefillMillis;
    }

    /**
     * Returns the cost of a millisecond of prefill to the streams on the same engine. Each of them occupies its slot
     * for that much longer, and if slots are scarce that time is a fraction of a stream that could have run. Without
     * this price, engines full of streams accepted prompts until all slots were in use. With six engines it gained
     * 0.015 of the mean value of five heavy days, with thirteen it made no difference.
     */
    private static double perMillisecondOfStreams(Price price, UpstreamInstance engine) {
        double share = (double) engine.totalAttempts() / engine.slots;
        double scarcity = Math.clamp((share - FREE_SLOT_SHARE) / (FULL_SLOT_SHARE - FREE_SLOT_SHARE), 0, 1);
        return scarcity * engine.totalAttempts() / Math.max(INITIAL_PREFILL_MILLIS, price.generationMillis);
    }
}
