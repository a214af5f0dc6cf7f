package org.cuminshelf.direct;

import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.DecayingMean;

/**
 * Logarithm of the factor by which the service time of one plain upstream exceeds that of its peers.
 *
 * <p>The usual factor is a mean over some seconds. The current factor follows the last answers and falls back to the
 * usual one without new answers: an upstream that was slow for a moment must be used again after that.
 */
final class PlainServiceTime {

    /** Fraction of a deviation by which one answer moves the current factor. */
    private static final double SMOOTHING_WEIGHT = 0.15;
    /** The same after {@link #RUN_LENGTH} successive answers on one side. */
    private static final double RUN_SMOOTHING_WEIGHT = 0.5;
    /** A slow period of half a second has few answers, so that a longer run would recognise it too late. */
    private static final int RUN_LENGTH = 3;
    /** Deviation, as a logarithm, from which an answer counts in a run: less is noise. */
    private static final double MIN_RUN_LOG_DEVIATION = 0.3;
    /** Deviation, as a logarithm, below which a run ends: the factor has nearly arrived at the answers. */
    private static final double MIN_CONTINUED_LOG_DEVIATION = 0.1;
    /** Logarithm to which a deviation is clamped: a single answer of any duration says no more than 3.3 times. */
    private static final double MAX_LOG_DEVIATION = 1.2;
    /** Bound of the logarithm, ten times as slow or fast as the peers. */
    private static final double MAX_LOG_FACTOR = Math.log(10);
    /** Time constant of the usual factor. */
    private static final double USUAL_SMOOTHING_NANOS = Durations.nanos(10_000);
    /** Weight of an equal speed in the usual factor, in answers: a slow period alone must not change it. */
    private static final double PRIOR_ANSWERS = 20;
    /** Time constant with which the current factor falls back: short, as a slow upstream is given few calls to show. */
    private static final double CURRENT_RETENTION_NANOS = Durations.nanos(400);

    private final DecayingMean usual = new DecayingMean(USUAL_SMOOTHING_NANOS, PRIOR_ANSWERS);
    private double currentLog;
    private long observedAt;
    private int run;

    /**
     * Adds answers.
     *
     * @param now      the time in nanoseconds
     * @param logRatio logarithm of their mean service time over that of the peers
     * @param count    their number, at least 1
     */
    void observe(long now, double logRatio, int count) {
        double before = logFactor(now);
        double deviation = Math.clamp(logRatio - before, -MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        countRun(deviation, count);
        double single = Math.abs(run) >= RUN_LENGTH ? RUN_SMOOTHING_WEIGHT : SMOOTHING_WEIGHT;
        double weight = 1 - Math.pow(1 - single, count);
        currentLog = Math.clamp(before + weight * deviation, -MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        usual.add(now, Math.clamp(logRatio, -MAX_LOG_FACTOR, MAX_LOG_FACTOR), count);
        observedAt = now;
    }

    private void countRun(double deviation, int count) {
        double distance = Math.abs(deviation);
        boolean continues = deviation * run > 0 && distance >= MIN_CONTINUED_LOG_DEVIATION;
        if (distance < MIN_RUN_LOG_DEVIATION) {
            run = continues ? run : 0;
            return;
        }
        int before = continues ? Math.abs(run) : 0;
        run = (int) Math.signum(deviation) * Math.min(RUN_LENGTH, before + Math.min(count, RUN_LENGTH));
    }

    /** Returns the logarithm of the factor at a time in nanoseconds; 0 without answers. */
    double logFactor(long now) {
        double usualLog = usual.mean(now, 0);
        return usualLog + (currentLog - usualLog) * Math.exp((observedAt - now) / CURRENT_RETENTION_NANOS);
    }
}
