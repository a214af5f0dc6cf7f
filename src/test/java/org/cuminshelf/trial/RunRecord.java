package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;

/** What an engine did about one attempt of a request. */
final class RunRecord {

    final int number;
    final Address entry;
    final long beganAt;
    /** The event after which it was asked to go on; 0 for a run from the start. */
    final long resumeAfter;
    /** Version of the engine's software. */
    final String version;
    /** When it sent events, or its whole answer. */
    final List<Long> sentAt = new ArrayList<>();

    boolean prefilled;
    boolean complete;
    /** Whether it sent the last event of its stream, after which no later run sends another. */
    boolean lastSent;

    /** Whether its connection died without a reset, so that neither side learns of the other. */
    boolean dead;

    long endedAt = Core.NEVER;

    RunRecord(int number, Address entry, long beganAt, long resumeAfter, String version) {
        this.number = number;
        this.entry = entry;
        this.beganAt = beganAt;
        this.resumeAfter = resumeAfter;
        this.version = version;
    }

    /**
     * Whether it still worked so long after another run, which was under way beside it, sent something at a time that
     * counts.
     */
    boolean worksOnAfter(RunRecord other, long delay, LongPredicate counts) {
        if (dead || other.dead) {
            return false;
        }
        return other.sentAt.stream()
                .filter(at -> at >= beganAt && counts.test(at))
                .anyMatch(at -> endedAt > at + delay && (other.complete || other.endedAt > at + delay));
    }
}
