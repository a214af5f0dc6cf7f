package org.cuminshelf.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.engines.PauseRisk;
import org.cuminshelf.engines.StreamIntervalModel;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.routes.WeightedService;

/**
 * Forecasts the gaps between the events of streams for the selection of engines. It addresses loads under which gaps
 * exceed the limit of callers, and engines of different speed; without a limit, and far from it, all risks are 0.
 */
final class GapForecasts {

    /**
     * Ratio between the intervals of the slowest and the fastest engine, as a logarithm, up to which engines count as
     * equally fast. From twice that on their streams count in full; between, in part, so that the choice does not jump.
     */
    private static final double DEAD_BAND_LOG = Math.log(1.15);
    /** Factor from which an engine counts as slow in the gauge. */
    private static final double SLOW_FACTOR = 1.5;

    private final ControlSubscription control;
    private final EngineLatencyModels models;
    private final EventIntervals intervals;
    /** The longest gap that callers of a service accept, in milliseconds, by service; of {@link #limitsOf}. */
    private final Map<String, Long> maxGapMillis = new HashMap<>();

    private RouteTable limitsOf = RouteTable.empty();

    GapForecasts(ControlSubscription control, EngineLatencyModels models, EventIntervals intervals) {
        this.control = control;
        this.models = models;
        this.intervals = intervals;
    }

    /**
     * Returns the forecasts for one decision.
     *
     * @param now     the time in nanoseconds
     * @param service the service of the call
     * @param ownMaxGapMillis the longest gap that the caller accepts, in milliseconds; 0 if it accepts any
     * @param open    the upstreams among which is decided
     */
    Forecaster of(long now, String service, long ownMaxGapMillis, Collection<UpstreamInstance> open) {
        for (UpstreamInstance upstream : open) {
            if (upstream.generatesTokens()) {
                intervals.observeAwaited(now, upstream);
            }
        }
        return new Forecaster(now, models.intervalsOf(service), ownMaxGapMillis, maxGapMillis(service));
    }

    /** Counts the upstreams of a collection whose intervals exceed the mean of their service by half. */
    long slowUpstreams(long now, Collection<UpstreamInstance> upstreams) {
        return upstreams.stream()
                .filter(upstream -> models.intervalsOf(upstream.service).relativeFactor(upstream.id, now) > SLOW_FACTOR)
                .count();
    }

    private long maxGapMillis(String service) {
        if (limitsOf != control.routes()) {
            limitsOf = control.routes();
            maxGapMillis.clear();
            limitsOf.routes().forEach(this::addLimit);
        }
        return maxGapMillis.getOrDefault(service, 0L);
    }

    private void addLimit(Route route) {
        if (route.kind() != RequestKind.STREAM || route.maxEventGapMillis() <= 0) {
            return;
        }
        for (WeightedService weighted : route.services()) {
            maxGapMillis.merge(weighted.service(), route.maxEventGapMillis(), Math::min);
        }
    }

    /** The forecasts for one decision. */
    static final class Forecaster {

        private final long now;
        private final StreamIntervalModel model;
        private final long ownMaxGapMillis;
        private final long othersMaxGapMillis;

        private Forecaster(long now, StreamIntervalModel model, long ownMaxGapMillis, long othersMaxGapMillis) {
            this.now = now;
            this.model = model;
            this.ownMaxGapMillis = ownMaxGapMillis;
            this.othersMaxGapMillis = othersMaxGapMillis;
        }

        /**
         * Returns the forecast for one more stream at an engine that generates.
         *
         * @param engine        the engine
         * @param queuedMillis  milliseconds of prefill queued there
         * @param prefillMillis milliseconds for which it prefills the prompt; 0 if another engine has done that
         */
        GapForecast forecast(UpstreamInstance engine, double queuedMillis, double prefillMillis) {
            PauseRisk.EngineLoad load = new PauseRisk.EngineLoad(engine.id, engine.totalAttempts(), queuedMillis);
            PauseRisk risk = PauseRisk.of(model, now, load, prefillMillis, ownMaxGapMillis, othersMaxGapMillis);
            double intervalMillis =
                    model.intervalMillis(engine.id, now, engine.totalAttempts() + 1, queuedMillis + prefillMillis);
            return new GapForecast(
                    intervalMillis, model.pauseMillis(intervalMillis), model.relativeFactor(engine.id, now), risk);
        }

        /**
         * Returns the exponent with which the factors of engines count: 0 if they differ by no more than the dead band,
         * 1 if they differ clearly.
         */
        double speedWeight(Collection<UpstreamInstance> engines) {
            double lowestLog = Double.MAX_VALUE;
            double highestLog = -Double.MAX_VALUE;
            for (UpstreamInstance engine : engines) {
                if (engine.generatesTokens()) {
                    double log = Math.log(model.relativeFactor(engine.id, now));
                    lowestLog = Math.min(lowestLog, log);
                    highestLog = Math.max(highestLog, log);
                }
            }
            return Math.clamp((highestLog - lowestLog) / DEAD_BAND_LOG - 1, 0, 1);
        }

        /**
         * Returns the streams of an engine, weighted by the interval that they get.
         *
         * @param engine      the engine
         * @param speedWeight see {@link #speedWeight}
         */
        double streamLoad(UpstreamInstance engine, double speedWeight) {
            return speedWeight == 0
                    ? engine.totalAttempts()
                    : engine.totalAttempts() * Math.pow(model.relativeFactor(engine.id, now), speedWeight);
        }
    }
}
