package org.cuminshelf.replica;

import com.google.protobuf.ByteString;
import org.cuminshelf.message.Snapshot;

/** The state machine of a replica, how far the log is applied to it, and the snapshots that are made of it. */
final class AppliedState {

    private static final int SNAPSHOT_INTERVAL_ENTRIES = 2_000;
    /** A snapshot is also due once the entries since the last one are this large, or as large as the last one. */
    private static final long SNAPSHOT_INTERVAL_BYTES = 4L << 20;
    /** Entries before a snapshot that stay in memory, so that a slightly lagging follower needs no snapshot. */
    private static final int MAX_ENTRIES_KEPT_BEFORE_SNAPSHOT = 500;

    private static final long MAX_BYTES_KEPT_BEFORE_SNAPSHOT = 1L << 20;

    private final ReplicatedLog log;
    private final ReplicatedStateMachine stateMachine;
    private volatile long appliedIndex;

    AppliedState(ReplicatedLog log, ReplicatedStateMachine stateMachine) {
        this.log = log;
        this.stateMachine = stateMachine;
    }

    /** Index of the last entry applied to the state machine. */
    long index() {
        return appliedIndex;
    }

    /** Applies the entries up to an index, as far as the log holds them. */
    void applyUpTo(long index) {
        while (appliedIndex < index && log.holds(appliedIndex + 1)) {
            appliedIndex++;
            stateMachine.apply(log.entry(appliedIndex));
        }
    }

    /** Replaces log and state by a snapshot; the log keeps the entries after it if it contains its last entry. */
    void restore(Snapshot snapshot) {
        log.restore(snapshot);
        stateMachine.load(snapshot.getState());
        appliedIndex = snapshot.getIndex();
    }

    /** Serializes the state after the last applied entry. */
    ByteString saveState() {
        return stateMachine.save();
    }

    boolean isSnapshotDue() {
        Snapshot last = log.snapshot();
        long intervalBytes = Math.max(SNAPSHOT_INTERVAL_BYTES, last.getState().size());
        return appliedIndex - last.getIndex() >= SNAPSHOT_INTERVAL_ENTRIES
                || log.bytesBetween(last.getIndex(), appliedIndex) >= intervalBytes;
    }

    /** Makes a snapshot, and removes from the log most of the entries that it covers. */
    Snapshot takeSnapshot() {
        Snapshot snapshot = Snapshot.newBuilder()
                .setIndex(appliedIndex)
                .setTerm(log.term(appliedIndex).orElseThrow())
                .setMembership(log.membershipBefore(appliedIndex + 1))
                .setState(saveState())
                .setClockMs(log.clock(appliedIndex))
                .build();
        log.compact(snapshot, MAX_ENTRIES_KEPT_BEFORE_SNAPSHOT, MAX_BYTES_KEPT_BEFORE_SNAPSHOT);
        return snapshot;
    }
}
