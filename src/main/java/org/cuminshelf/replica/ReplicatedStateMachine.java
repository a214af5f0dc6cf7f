package org.cuminshelf.replica;

import org.cuminshelf.message.LogEntry;

/**
 * The state machine that a group's log is applied to. All replicas apply the same entries in the same order, so an
 * implementation must be deterministic.
 */
public interface ReplicatedStateMachine {

    /**
     * Applies a committed entry. Called once for each entry, in the order of the log.
     *
     * @param entry the entry
     */
    void apply(LogEntry entry);

    /**
     * Serializes the whole state for a snapshot.
     *
     * @return the state after the last applied entry
     */
    com.google.protobuf.ByteString save();

    /**
     * Replaces the whole state by that of a snapshot.
     *
     * @param state a state returned by {@link #save()}
     */
    void load(com.google.protobuf.ByteString state);
}
