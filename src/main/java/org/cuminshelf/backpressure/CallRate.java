package org.cuminshelf.backpressure;

import org.cuminshelf.core.Durations;

/** Calls per second as an exponentially weighted moving average. */
final class CallRate {

    /**
     * Time in which the weight of a call decays to 1/e: long compared with bursts, short compared with changes of the
     * traffic mix.
     */
    private static final double TIME_CONSTANT_NANOS = Durations.nanos(1_000);

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private double decayedCount;
    private long updatedAt;

    CallRate(long now) {
        this.updatedAt = now;
    }

    void onCall(long now) {
        decay(now);
        decayedCount++;
    }

    double perSecond(long now) {
        decay(now);
        return decayedCount * NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
    }

    private void decay(long now) {
        decayedCount *= Math.exp((updatedAt - now) / TIME_CONSTANT_NANOS);
        updatedAt = now;
    }
}
