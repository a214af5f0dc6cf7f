package org.cuminshelf.engines;

/**
 * Logarithm of the factor by which the event intervals of one engine exceed those of the shared fit.
 *
 * <p>It has two parts. The usual factor is a mean over some seconds, and that of the whole service if the engine is
 * unused. The current factor follows the last intervals and falls back to the usual one without new intervals: an
 * engine that was slow for a moment must be used again after that.
 */
final class EngineIntervalFactor {

    /** Fraction of a deviation by which one interval moves the current factor: an average of about ten intervals. */
    private static final double SMOOTHING_WEIGHT = 0.1;
    /** The same after {@link #RUN_LENGTH} successive intervals on one side. */
    private static final double RUN_SMOOTHING_WEIGHT = 0.5;
    /** By chance, five successive intervals are on one side in one of sixteen cases. */
    private static final int RUN_LENGTH = 5;
    /** Deviation, as a logarithm, from which an interval counts in a run: less is noise. */
    private static final double MIN_RUN_LOG_DEVIATION = 0.1;
    /** Logarithm to which a deviation is clamped: an interval of any length says no more than 3.3 times. */
    private static final double MAX_LOG_DEVIATION = 1.2;
    /** Bound of the logarithm, ten times as slow or fast as the fit. */
    private static final double MAX_LOG_FACTOR = Math.log(10);
    /** Logarithm that raises no prediction, for an engine without a known wait. */
    private static final double NO_WAIT_LOG = -MAX_LOG_FACTOR;
    /** Time constant of the usual factor. */
    private static final double USUAL_SMOOTHING_NANOS = 10e9;
    /** Time constant with which the current factor falls back: short, as a slow engine is given few streams to show. */
    private static final double CURRENT_RETENTION_NANOS = 0.5e9;
    /** Time constant with which a reported wait loses effect: some two intervals between reports. */
    private static final double AWAITED_RETENTION_NANOS = 0.3e9;
    /** Weight of the mean of the service in the usual factor, in intervals. */
    private static final double PRIOR_INTERVALS = 4;

    private final DecayingMean usual = new DecayingMean(USUAL_SMOOTHING_NANOS, PRIOR_INTERVALS);
    private double currentLog;
    private boolean observed;
    private long observedAt;
    private int run;
    private double awaitedLog = NO_WAIT_LOG;
    private long awaitedAt;

    /**
     * Adds intervals, which also end the effect of {@link #observeAwaited}.
     *
     * @param now        the time in nanoseconds
     * @param serviceLog mean logarithm of the service
     * @param logRatio   logarithm of the mean interval over that of the shared fit
     * @param count      number of intervals
     * @param local      whether this entry measured them; reports of others cover a time that is over, so they never
     *                   move the factor at the rate of a run
     */
    void observe(long now, double serviceLog, double logRatio, int count, boolean local) {
        double before = observedLog(now, serviceLog);
        double deviation = Math.clamp(logRatio - before, -MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        if (local) {
            countRun(deviation);
        }
        boolean isRun = local && Math.abs(run) >= RUN_LENGTH;
        double weight = 1 - Math.pow(1 - (isRun ? RUN_SMOOTHING_WEIGHT : SMOOTHING_WEIGHT), count);
        currentLog = Math.clamp(before + weight * deviation, -MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        usual.add(now, Math.clamp(logRatio, -MAX_LOG_FACTOR, MAX_LOG_FACTOR), count);
        observed = true;
        observedAt = now;
        awaitedLog = NO_WAIT_LOG;
    }

    private void countRun(double deviation) {
        if (Math.abs(deviation) < MIN_RUN_LOG_DEVIATION) {
            run = 0;
        } else {
            run = deviation > 0 ? Math.max(1, run + 1) : Math.min(-1, run - 1);
        }
    }

    /** Sets the logarithm of an interval, over that of the fit, that a stream has waited for without its end. */
    void observeAwaited(long now, double logRatio) {
        awaitedLog = logRatio;
        awaitedAt = now;
    }

    /** Returns the logarithm of the factor at a time in nanoseconds. */
    double logFactor(long now, double serviceLog) {
        double factor = observedLog(now, serviceLog);
        double raised = awaitedLog - factor;
        return raised > 0 ? factor + raised * Math.exp((awaitedAt - now) / AWAITED_RETENTION_NANOS) : factor;
    }

    /** Returns the logarithm of the factor without the effect of {@link #observeAwaited}. */
    double observedLog(long now, double serviceLog) {
        double usualLog = usualLog(now, serviceLog);
        if (!observed) {
            return usualLog;
        }
        return usualLog + (currentLog - usualLog) * Math.exp((observedAt - now) / CURRENT_RETENTION_NANOS);
    }

    /** Returns the logarithm of the usual factor; that of the service without intervals. */
    double usualLog(long now, double serviceLog) {
        return usual.mean(now, serviceLog);
    }
}
