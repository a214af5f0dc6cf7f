package org.cuminshelf.replica;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Snapshot;

/**
 * The persistent state of a replica, read from its disk at the start.
 *
 * @param hardState the cluster, identity, term, vote and commit index
 * @param snapshot  the newest snapshot
 * @param entries   the entries after it, in their order; may read each one from the disk when it is asked for
 */
public record DurableState(HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

    /**
     * The state of a replica with a new, empty disk.
     *
     * @param identity the identity generated for this disk, never used before
     * @return the state
     */
    public static DurableState fresh(long identity) {
        return new DurableState(HardState.newBuilder().setIdentity(identity).build(), Optional.empty(), List.of());
    }
}
