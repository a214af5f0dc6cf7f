package org.cuminshelf.backpressure;

import org.cuminshelf.core.Durations;

/** Calls a second, as a mean in which older ones fade. */
final class CallRate {

    /** Nanoseconds in which a call fades to a third: long against clumps, short against turns of the mix. */
    private static final double FADING = Durations.nanos(1_000);

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private double faded;
    private long at;

    CallRate(long now) {
        this.at = now;
    }

    void onCall(long now) {
        fade(now);
        faded++;
    }

    double perSecond(long now) {
        fade(now);
        return faded * NANOS_PER_SECOND / FADING;
    }

    private void fade(long now) {
        faded *= Math.exp((at - now) / FADING);
        at = now;
    }
}
