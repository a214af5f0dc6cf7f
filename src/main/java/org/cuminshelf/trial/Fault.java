package org.cuminshelf.trial;

/** The kinds of faults that a randomised run injects. */
public enum Fault {
    /** A process is killed and started again later. */
    KILL,
    /** A process stands still while its clock goes on. */
    PAUSE,
    /** A whole VM stands still, its clock too. */
    SUSPEND,
    /** The processes fall into two parts that don't reach each other. */
    PARTITION,
    /** One process reaches nobody but is reached, or the other way round. */
    ONE_WAY,
    /** A connection goes silent while new ones work. */
    SILENCE,
    /** Messages are lost, slow, out of order and doubled. */
    WEATHER,
    /** A control process loses its disk and comes back with an empty one. */
    LOSE_DISK,
    /** A sync fails. */
    FAIL_SYNC,
    /** An engine crashes, possibly in the middle of a change. */
    CRASH_ENGINE,
    /** A sound engine or service sends nothing for a while, to all requests or to some, and goes on. */
    SILENT_UPSTREAM
}
