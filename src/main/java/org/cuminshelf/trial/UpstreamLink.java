package org.cuminshelf.trial;

import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Envelope;

/** The way from an upstream to its sidecar, on which a sound upstream may send nothing for a while. */
final class UpstreamLink {

    /** Number in place of an attempt for what belongs to none. */
    static final long NO_ATTEMPT = 0;

    private static final long WRITE_NANOS = Durations.nanos(1) / 10;

    private final VirtualTime time;
    private final VirtualNode sidecar;
    private long silentUntil;
    private boolean onlySomeAttempts;

    UpstreamLink(VirtualTime time, VirtualNode sidecar) {
        this.time = time;
        this.sidecar = sidecar;
    }

    /** Holds everything back for a while, or what belongs to every other attempt; a longer silence goes on. */
    void fallSilent(long duration, boolean someAttempts) {
        onlySomeAttempts = someAttempts && (onlySomeAttempts || silentUntil <= time.now());
        silentUntil = Math.max(silentUntil, time.now() + duration);
    }

    /** Ends the silence, as what sent is gone. */
    void reset() {
        silentUntil = 0;
    }

    private boolean isHeld(long attempt) {
        return silentUntil > time.now() && (!onlySomeAttempts || attempt % 2 == 1);
    }

    /** Sends a message to one incarnation of the sidecar, once the upstream is not silent any more. */
    void send(long incarnation, long attempt, Envelope.Builder message) {
        long from = isHeld(attempt) ? silentUntil : time.now();
        time.at(from + WRITE_NANOS, () -> sidecar.deliverLocal(incarnation, Address.UPSTREAM, message));
    }
}
