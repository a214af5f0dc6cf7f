package org.cuminshelf.entry;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.AttemptRef;

/** One attempt to run a call on one upstream. */
final class AttemptRow {

    /**
     * Identifies an attempt.
     *
     * @param upstream the address of the upstream's sidecar
     * @param session  the session with this incarnation of the sidecar
     * @param number   the number of the attempt, unique for this entry
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
    /** Prompt tokens that the engine is expected not to have cached. */
    final long uncachedPromptTokens;
    /** Whether the engine only prefills and another engine continues after the first token. */
    final boolean prefillOnly;

    long sentAtNanos;
    long lastMessageAtNanos;
    /** When the attempt was dispatched or last delivered new tokens. */
    long lastProgressAtNanos;

    boolean dispatched;
    /** Whether the prompt no longer counts as queued at the engine. */
    boolean prefillComplete;

    AttemptRow(Key key, CallRow call, long uncachedPromptTokens, boolean prefillOnly) {
        this.key = key;
        this.call = call;
        this.uncachedPromptTokens = uncachedPromptTokens;
        this.prefillOnly = prefillOnly;
    }
}
