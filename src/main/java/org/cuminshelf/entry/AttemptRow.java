package org.cuminshelf.entry;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.AttemptRef;

/** One try of a call on one upstream. */
final class AttemptRow {

    /**
     * Names an attempt.
     *
     * @param upstream the sidecar
     * @param session  the session with this incarnation of the sidecar
     * @param number   the number within the session
     */
    record Key(Address upstream, long session, long number) {

        AttemptRef reference() {
            return AttemptRef.newBuilder()
                    .setSidecar(upstream.value())
                    .setSession(session)
                    .setNumber(number)
                    .build();
        }
    }

    final Key key;
    final CallRow call;
    /** Prompt tokens expected not to be cached there. */
    final long promptCost;
    /** Whether the engine hands the stream over after the first token. */
    final boolean prefillOnly;

    long sentAt;
    long lastHeard;
    long lastProgress;
    boolean dispatched;
    /** Whether the prompt no longer counts as waiting there. */
    boolean promptTaken;

    AttemptRow(Key key, CallRow call, long promptCost, boolean prefillOnly) {
        this.key = key;
        this.call = call;
        this.promptCost = promptCost;
        this.prefillOnly = prefillOnly;
    }
}
