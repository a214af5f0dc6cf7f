package org.cuminshelf.shares;

/**
 * Decaying sums over the calls of a group that were sent or refused, and over the value of their answers. A call counts
 * as sent at once, so that the shares follow decisions without delay; what becomes of it later is taken off.
 */
final class ShareTally {

    /** Weight of one call in the mean slack: a window of about thirty calls. */
    private static final double SLACK_WEIGHT = 0.03;

    private final double windowNanos;
    private final double keptPerCall;
    private long updatedAtNanos;
    private long totalCalls;
    private double calls;
    private double sentCalls;
    private double value;
    private double sentValue;
    private double slackMillis = Double.NaN;

    /**
     * Creates a tally without calls.
     *
     * @param windowNanos time constant of the decay, in nanoseconds
     * @param windowCalls number of further calls after which a call has lost most of its weight
     */
    ShareTally(double windowNanos, double windowCalls) {
        this.windowNanos = windowNanos;
        this.keptPerCall = 1 - 1 / windowCalls;
    }

    /** Adds a call that was sent, with the value of its answer in usual answers. */
    void addSent(long now, double callValue) {
        add(now, callValue);
        sentCalls++;
        sentValue += callValue;
    }

    /** Adds a call that was refused, with the value that its answer would have had. */
    void addRefused(long now, double callValue) {
        add(now, callValue);
    }

    private void add(long now, double callValue) {
        decay(now);
        scale(keptPerCall);
        totalCalls++;
        calls++;
        value += callValue;
    }

    /** Counts a call as refused that was counted as sent. */
    void changeToRefused(long now, double callValue) {
        decay(now);
        sentCalls = Math.max(0, sentCalls - 1);
        deductValue(now, callValue);
    }

    /** Takes off value that was counted as sent. */
    void deductValue(long now, double lostValue) {
        decay(now);
        sentValue = Math.max(0, sentValue - lostValue);
    }

    /** Removes a call that was counted as sent. */
    void removeSent(long now, double callValue) {
        changeToRefused(now, callValue);
        calls = Math.max(sentCalls, calls - 1);
        value = Math.max(sentValue, value - callValue);
    }

    /** Records how long a call may wait and still be in time, in milliseconds. */
    void observeSlack(double millis) {
        slackMillis = Double.isNaN(slackMillis) ? millis : slackMillis + SLACK_WEIGHT * (millis - slackMillis);
    }

    /** Returns how long a usual call may wait and still be in time, in milliseconds; 0 if that is not known. */
    double slackMillis() {
        return Double.isNaN(slackMillis) ? 0 : Math.max(0, slackMillis);
    }

    /** Returns the number of calls that were sent or refused since the start. */
    long totalCalls() {
        return totalCalls;
    }

    /**
     * Returns the share of calls that were sent.
     *
     * @param now        the time in nanoseconds
     * @param prior      the share that is assumed without any call, from 0 to 1
     * @param priorCalls number of calls that the assumption weighs as much as
     * @return the share, from 0 to 1
     */
    double share(long now, double prior, double priorCalls) {
        decay(now);
        return (priorCalls * prior + sentCalls) / (priorCalls + calls);
    }

    /** Returns the share of the value that was sent; parameters as for {@link #share}. */
    double valueShare(long now, double prior, double priorCalls) {
        decay(now);
        return (priorCalls * prior + sentValue) / (priorCalls + value);
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
        sentCalls *= factor;
        value *= factor;
        sentValue *= factor;
    }
}
