package org.cuminshelf.engines;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the interval between two events of a stream on each engine of one service.
 *
 * <p>An engine generates for all its streams in steps and prefills prompts in chunks between them. So an interval has a
 * constant part, a part for each stream and a part for the prefill in progress, all divided by the engine's speed. The
 * parts are fitted for all engines together; each engine has a factor. It addresses loads under which gaps exceed what
 * callers accept: bursts, engines of different speed, engines that are slow for a moment or hang.
 */
public final class StreamIntervalModel {

    /**
     * Prior of an interval in milliseconds: constant, for each stream, and with prefill during all of it. The first two
     * are those of {@link EngineLatencyModel}.
     */
    private static final double[] PRIOR_MILLIS = {60, 1, 30};

    private static final double[] TYPICAL_FEATURES = {1, 12, 0.5};
    /**
     * Time between two samples of the fit. A refit takes some 50 µs and follows at most each sixth sample; the window
     * of the fit covers some 4 s.
     */
    private static final long MIN_SAMPLE_INTERVAL_NANOS = 20_000_000;
    /** Intervals observed before any prediction is relied upon, and before an engine's factor is estimated. */
    private static final int MIN_INTERVALS = 24;
    /** Engines whose factor is kept; more than the largest deployment has. */
    private static final int MAX_ENGINES = 2_048;
    /** Shortest interval that counts, in milliseconds: the resolution of the clocks. */
    private static final double MIN_INTERVAL_MILLIS = 1;
    /** Time constant of the mean factor of the service. */
    private static final double SERVICE_SMOOTHING_NANOS = 10e9;
    /** Weight of factor 1 in the mean factor of the service, in intervals. */
    private static final double SERVICE_PRIOR_INTERVALS = 4;

    private final RobustLinearFit fit = new RobustLinearFit(PRIOR_MILLIS, TYPICAL_FEATURES);
    private final Map<String, EngineIntervalFactor> factors = new HashMap<>();
    private final DecayingMean service = new DecayingMean(SERVICE_SMOOTHING_NANOS, SERVICE_PRIOR_INTERVALS);
    /** Longest gaps of streams over the intervals predicted when they were sent. */
    private final LogSpread pauseSpread = new LogSpread();

    private long observedIntervals;
    private long lastSampleAt = Long.MIN_VALUE / 2;

    private StreamIntervalModel() {}

    /**
     * Creates a model without observations.
     *
     * @return the model
     */
    public static StreamIntervalModel create() {
        return new StreamIntervalModel();
    }

    /**
     * Adds an interval that this entry measured.
     *
     * @param engine         the name of the engine
     * @param now            the time in nanoseconds
     * @param streams        streams for which the engine generates
     * @param prefilling     whether the engine prefilled a prompt meanwhile
     * @param intervalMillis the interval in milliseconds
     */
    public void observe(String engine, long now, int streams, boolean prefilling, double intervalMillis) {
        observe(engine, now, streams, prefilling ? 1 : 0, intervalMillis);
    }

    /**
     * Adds an interval that this entry measured.
     *
     * @param engine         the name of the engine
     * @param now            the time in nanoseconds
     * @param streams        streams for which the engine generates
     * @param prefillShare   fraction of the interval during which the engine prefilled prompts, from 0 to 1
     * @param intervalMillis the interval in milliseconds
     */
    public void observe(String engine, long now, int streams, double prefillShare, double intervalMillis) {
        double interval = Math.max(MIN_INTERVAL_MILLIS, intervalMillis);
        double logRatio = Math.log(interval / fitMillis(streams, prefillShare));
        double relativeLog = 0;
        if (observedIntervals > MIN_INTERVALS) {
            EngineIntervalFactor factor = factor(engine);
            double serviceLog = serviceLog(now);
            factor.observe(now, serviceLog, logRatio, 1, true);
            service.add(now, logRatio, 1);
            relativeLog = factor.usualLog(now, serviceLog) - serviceLog;
        }
        observedIntervals++;
        if (now - lastSampleAt >= MIN_SAMPLE_INTERVAL_NANOS) {
            lastSampleAt = now;
            // Only the ratio between engines is removed: fit and factors would otherwise explain each other and drift.
            fit.observe(new double[] {1, streams, prefillShare}, interval / Math.exp(relativeLog));
        }
    }

    /**
     * Adds intervals that another entry measured. They move the factor of the engine only.
     *
     * @param engine       the name of the engine
     * @param now          the time of the report's arrival in nanoseconds
     * @param count        number of intervals
     * @param meanMillis   their mean in milliseconds
     * @param streams      streams for which the engine generates
     * @param prefillShare fraction of the time during which the engine prefilled prompts, from 0 to 1
     */
    public void observeRemote(String engine, long now, int count, double meanMillis, int streams, double prefillShare) {
        if (count <= 0 || observedIntervals <= MIN_INTERVALS) {
            return;
        }
        double logRatio = Math.log(Math.max(MIN_INTERVAL_MILLIS, meanMillis) / fitMillis(streams, prefillShare));
        factor(engine).observe(now, serviceLog(now), logRatio, count, false);
        service.add(now, logRatio, count);
    }

    /**
     * Adds the longest time for which a running stream has waited for its next event. If it exceeds the prediction, it
     * raises the prediction at once, until an interval on the engine ends or for some tenths of a second.
     *
     * @param engine        the name of the engine
     * @param now           the time in nanoseconds
     * @param streams       streams for which the engine generates
     * @param prefillMillis milliseconds of prefill queued there
     * @param awaitedMillis the wait in milliseconds
     */
    public void observeAwaited(String engine, long now, int streams, double prefillMillis, double awaitedMillis) {
        if (observedIntervals <= MIN_INTERVALS
                || awaitedMillis <= intervalMillis(engine, now, streams, prefillMillis)) {
            return;
        }
        double base = fitMillis(streams, prefillShare(1, streams, prefillMillis));
        factor(engine).observeAwaited(now, Math.log(awaitedMillis / base));
    }

    /**
     * Adds the longest gap of a stream that has ended.
     *
     * @param expectedMillis the interval that was predicted when the stream was sent, in milliseconds
     * @param longestMillis  its longest gap between two events, in milliseconds
     */
    public void observePause(double expectedMillis, double longestMillis) {
        pauseSpread.observe(
                Math.log(Math.max(MIN_INTERVAL_MILLIS, longestMillis) / Math.max(MIN_INTERVAL_MILLIS, expectedMillis)));
    }

    /**
     * Predicts the longest gap of a stream.
     *
     * @param intervalMillis the interval that is predicted now, in milliseconds
     * @return milliseconds
     */
    public double pauseMillis(double intervalMillis) {
        return intervalMillis * Math.exp(pauseSpread.mean());
    }

    /**
     * Predicts the interval between two events without prefill.
     *
     * @param engine  the name of the engine
     * @param now     the time in nanoseconds
     * @param streams streams for which the engine generates
     * @return milliseconds
     */
    public double intervalMillis(String engine, long now, int streams) {
        return intervalMillis(engine, now, streams, 0);
    }

    /**
     * Predicts the interval between two events beside queued prefill.
     *
     * @param engine        the name of the engine
     * @param now           the time in nanoseconds
     * @param streams       streams for which the engine generates
     * @param prefillMillis milliseconds of prefill queued there
     * @return milliseconds
     */
    public double intervalMillis(String engine, long now, int streams, double prefillMillis) {
        double factor = Math.exp(logFactor(engine, now));
        return factor * fitMillis(streams, prefillShare(factor, streams, prefillMillis));
    }

    /**
     * Returns the probability that the longest gap between two events of a stream exceeds a limit.
     *
     * @param engine        the name of the engine
     * @param now           the time in nanoseconds
     * @param streams       streams for which the engine generates
     * @param prefillMillis milliseconds of prefill queued there
     * @param maxGapMillis  the limit in milliseconds; 0 if there is none
     * @return the probability, 0 if the gaps are far from the limit or too few intervals are known
     */
    public double lateProbability(String engine, long now, int streams, double prefillMillis, double maxGapMillis) {
        return maxGapMillis <= 0 || observedIntervals <= MIN_INTERVALS
                ? 0
                : pauseSpread.probabilityAbove(
                        Math.log(maxGapMillis / intervalMillis(engine, now, streams, prefillMillis)));
    }

    /**
     * Returns the factor by which an engine's intervals exceed the mean of its service now.
     *
     * @param engine the name of the engine
     * @param now    the time in nanoseconds
     * @return the factor, above 1 for an engine that is slower; 1 without observations
     */
    public double relativeFactor(String engine, long now) {
        return Math.exp(logFactor(engine, now) - serviceLog(now));
    }

    private double logFactor(String engine, long now) {
        EngineIntervalFactor known = factors.get(engine);
        return known == null ? serviceLog(now) : known.logFactor(now, serviceLog(now));
    }

    private double serviceLog(long now) {
        return service.mean(now, 0);
    }

    private double fitMillis(int streams, double prefillShare) {
        return Math.max(MIN_INTERVAL_MILLIS, fit.predict(1, streams, prefillShare));
    }

    /**
     * Returns the fraction of an interval that queued prefill lasts, at most all of it: prompts are prefilled in
     * chunks, so a longer queue does not extend the interval any further.
     */
    private double prefillShare(double factor, int streams, double prefillMillis) {
        return Math.clamp(prefillMillis / (factor * fitMillis(streams, 1)), 0, 1);
    }

    private EngineIntervalFactor factor(String engine) {
        if (factors.size() >= MAX_ENGINES && !factors.containsKey(engine)) {
            factors.clear();
        }
        return factors.computeIfAbsent(engine, key -> new EngineIntervalFactor());
    }
}
