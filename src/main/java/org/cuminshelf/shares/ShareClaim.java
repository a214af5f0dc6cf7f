package org.cuminshelf.shares;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * One call, counted in the shares of its groups when its outcome is known. A call of which no outcome is recorded, as
 * its caller has left or its upstreams have failed, is not counted.
 */
public final class ShareClaim {

    /** Fraction of a late answer's value that is counted. */
    private static final double LATE_VALUE = 0.5;

    private final ServiceShares service;
    private final CallKind kind;
    private final ShareTally kindTally;
    private final Optional<ShareTally> organisationTally;
    private final Collection<ShareTally> tallies;
    private final double value;
    private Standing standing = new Standing.Neutral(1);
    private boolean counted;
    private boolean countedInTime;

    ShareClaim(
            ServiceShares service,
            CallKind kind,
            ShareTally kindTally,
            Optional<ShareTally> organisationTally,
            List<ShareTally> tallies,
            double value) {
        this.service = service;
        this.kind = kind;
        this.kindTally = kindTally;
        this.organisationTally = organisationTally;
        this.tallies = tallies;
        this.value = value;
    }

    /**
     * Determines the standing of the call anew.
     *
     * @param now the time in nanoseconds
     */
    public void update(long now) {
        standing = service.standing(now, kind, kindTally, organisationTally);
    }

    /**
     * Returns the standing at the last update.
     *
     * @return the standing; neutral before the first update
     */
    public Standing standing() {
        return standing;
    }

    /**
     * Records that the answer or its first event has arrived; only the first outcome counts.
     *
     * @param now  the time in nanoseconds
     * @param late whether it is late because the call had to wait
     */
    public void onAnswered(long now, boolean late) {
        if (!counted) {
            countedInTime = !late;
            count(now, true, late ? LATE_VALUE : 1);
        }
    }

    /**
     * Records that an answer counted as in time has become late, because of a gap between its events.
     *
     * @param now the time in nanoseconds
     */
    public void onLateGap(long now) {
        if (countedInTime) {
            countedInTime = false;
            tallies.forEach(tally -> tally.deduct(now, (1 - LATE_VALUE) * value));
        }
    }

    /**
     * Records that the call was refused for lack of capacity; only the first outcome counts.
     *
     * @param now the time in nanoseconds
     */
    public void onRefused(long now) {
        if (!counted) {
            count(now, false, 0);
        }
    }

    private void count(long now, boolean answered, double fractionOfValue) {
        counted = true;
        tallies.forEach(tally -> tally.add(now, value, answered, fractionOfValue));
    }
}
