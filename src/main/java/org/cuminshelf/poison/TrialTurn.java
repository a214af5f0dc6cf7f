package org.cuminshelf.poison;

import org.cuminshelf.core.Durations;

/**
 * When requests with one of several suspected attributes may show whether it crashes upstreams. The attributes take
 * turns, which begin at the latest crash.
 *
 * <p>Failure it guards against: trials of a sound and of a poison attribute begin at the same time at one upstream, so
 * that its crash is evidence against both. As both are then held back for the same time, this repeats until the sound
 * one is quarantined too.
 *
 * @param sinceNanos when the first turn of the first attribute begins
 * @param index      position of the turn of the attribute, from 0
 * @param count      number of turns, after which the first one comes again; if there is one, it is always open
 */
public record TrialTurn(long sinceNanos, int index, int count) {

    /** Time from the beginning of a turn in which trials may begin. */
    private static final long OPEN_NANOS = Durations.nanos(500);
    /**
     * Length of a turn. In the 250 ms that are left a poison request has crashed its upstream, and all entries know it.
     * Without this rest a trial at the end of a turn and one at the beginning of the next were at one crash.
     */
    private static final long LENGTH_NANOS = Durations.nanos(750);

    /**
     * Checks whether it is the turn of the attribute.
     *
     * @param now the time in nanoseconds
     * @return whether a trial of it may begin
     */
    public boolean isOpen(long now) {
        return count == 1 || Math.floorMod(turnNumber(now), count) == index && now - beganAt(now) < OPEN_NANOS;
    }

    /**
     * Returns when the present turn, of whichever attribute, began.
     *
     * @param now the time in nanoseconds
     * @return the time in nanoseconds
     */
    public long beganAt(long now) {
        return sinceNanos + turnNumber(now) * LENGTH_NANOS;
    }

    /**
     * Returns how often all turns have passed since the latest crash.
     *
     * @param now the time in nanoseconds
     * @return the number of complete rounds
     */
    public long rounds(long now) {
        return Math.floorDiv(turnNumber(now), count);
    }

    private long turnNumber(long now) {
        return Math.floorDiv(now - sinceNanos, LENGTH_NANOS);
    }
}
