package org.cuminshelf.sidecar;

/**
 * Prompt tokens that the upstream takes in a second while any wait, as an exponentially weighted mean. Beside running
 * streams an engine takes prompts far slower than alone; first tokens reckoned with the speed it has alone come late.
 */
final class PrefillRateMeter {

    private static final double WEIGHT_OF_NEW = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Shorter prompts say more of the step they shared than of the speed. */
    private static final long FEWEST_TOKENS = 128;

    private double meanPerSecond;
    private long busySince;
    private long takenSinceBusy;

    /** A prompt began to wait. */
    void waiting(long now, long waitingBefore) {
        if (waitingBefore == 0) {
            busySince = now;
            takenSinceBusy = 0;
        }
    }

    /** A prompt was taken in. */
    void taken(long now, long tokens) {
        takenSinceBusy += tokens;
        if (takenSinceBusy < FEWEST_TOKENS || now <= busySince) {
            return;
        }
        double rate = takenSinceBusy * NANOS_PER_SECOND / (now - busySince);
        meanPerSecond = meanPerSecond == 0 ? rate : meanPerSecond + WEIGHT_OF_NEW * (rate - meanPerSecond);
        busySince = now;
        takenSinceBusy = 0;
    }

    int perSecond() {
        return (int) Math.min(Integer.MAX_VALUE, meanPerSecond);
    }
}
