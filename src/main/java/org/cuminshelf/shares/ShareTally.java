package org.cuminshelf.shares;

/** Decaying sums over the calls of a group whose outcome is known, and over the value of their answers. */
final class ShareTally {

    /** Weight that a call keeps with each further one: a window of about thirty calls. */
    private static final double KEPT_PER_CALL = 1 - 1.0 / 30;

    private final double windowNanos;
    private long updatedAtNanos;
    private long totalCalls;
    private double calls;
    private double answeredCalls;
    private double value;
    private double answeredValue;

    /**
     * Creates a tally without calls.
     *
     * @param windowNanos time constant of the decay, in nanoseconds
     */
    ShareTally(double windowNanos) {
        this.windowNanos = windowNanos;
    }

    /**
     * Adds a call whose outcome is known.
     *
     * @param now           the time in nanoseconds
     * @param callValue     value of its answer, in usual answers
     * @param answered      whether it was answered
     * @param fractionOfValue fraction of its value that the caller got, from 0 to 1
     */
    void add(long now, double callValue, boolean answered, double fractionOfValue) {
        decay(now);
        scale(KEPT_PER_CALL);
        totalCalls++;
        calls++;
        answeredCalls += answered ? 1 : 0;
        value += callValue;
        answeredValue += fractionOfValue * callValue;
    }

    /** Takes off value that was counted as answered. */
    void deduct(long now, double lostValue) {
        decay(now);
        answeredValue = Math.max(0, answeredValue - lostValue);
    }

    /** Returns the number of calls with a known outcome since the start. */
    long totalCalls() {
        return totalCalls;
    }

    /**
     * Returns the share of calls that were answered.
     *
     * @param now        the time in nanoseconds
     * @param prior      the share that is assumed without any call, from 0 to 1
     * @param priorCalls number of calls that the assumption weighs as much as
     * @return the share, from 0 to 1
     */
    double answeredShare(long now, double prior, double priorCalls) {
        decay(now);
        return (priorCalls * prior + answeredCalls) / (priorCalls + calls);
    }

    /** Returns the share of the value that was answered; parameters as for {@link #answeredShare}. */
    double answeredValueShare(long now, double prior, double priorCalls) {
        decay(now);
        return (priorCalls * prior + answeredValue) / (priorCalls + value);
    }

    private void decay(long now) {
        long elapsedNanos = now - updatedAtNanos;
        if (elapsedNanos > 0) {
            scale(Math.exp(-elapsedNanos / windowNanos));
            updatedAtNanos = now;
        }
    }

    private void scale(double factor) {
        calls *= factor;
        answeredCalls *= factor;
        value *= factor;
        answeredValue *= factor;
    }
}
