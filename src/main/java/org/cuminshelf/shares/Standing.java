package org.cuminshelf.shares;

/** How a call is treated while capacity is scarce, given what its groups and the others of its service have got. */
public sealed interface Standing {

    /**
     * A group of the call gets less than half of what the service as a whole gets.
     *
     * @param share share of the group's calls that are sent, from 0 to 1
     */
    record Owed(double share) implements Standing {}

    /**
     * A less urgent kind gets a noticeably greater share.
     *
     * @param share share of the kind's calls that are sent, from 0 to 1
     */
    record Preferred(double share) implements Standing {}

    /**
     * A more urgent kind loses a noticeable part of its calls.
     *
     * @param share          share of the kind's calls that are sent, from 0 to 1
     * @param maxQueueMillis prefill queued at an engine, in milliseconds, up to which the call hardly hinders that kind
     */
    record Yielding(double share, double maxQueueMillis) implements Standing {}

    /**
     * No group is treated differently.
     *
     * @param share share of the kind's calls that are sent, from 0 to 1
     */
    record Neutral(double share) implements Standing {}

    /**
     * Returns the share that the standing is based on.
     *
     * @return the share of the group's calls that are sent, from 0 to 1
     */
    double share();

    /**
     * Returns the name for logs.
     *
     * @return the name in lower case
     */
    default String label() {
        return switch (this) {
            case Owed owed -> "owed";
            case Preferred preferred -> "preferred";
            case Yielding yielding -> "yielding";
            case Neutral neutral -> "neutral";
        };
    }
}
