package org.cuminshelf.replica;

import org.cuminshelf.message.LogEntry;

/** What a group's log is applied to. All replicas apply the same entries in the same order. */
public interface ReplicatedStateMachine {

    /**
     * Applies a committed entry.
     *
     * @param entry the entry
     */
    void apply(LogEntry entry);

    /**
     * Saves the whole state.
     *
     * @return the state as of the last entry applied
     */
    com.google.protobuf.ByteString save();

    /**
     * Replaces the whole state.
     *
     * @param state a saved state
     */
    void load(com.google.protobuf.ByteString state);
}
