package org.cuminshelf.shares;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * One call, counted in the shares of its groups when it is sent or refused. A call whose caller left is not counted,
 * and what fails at upstreams is not recorded.
 */
public final class ShareClaim {

    /** Fraction of an answer's value that is lost if it is late. */
    private static final double LATE_VALUE_LOSS = 0.5;

    /** What is counted of the call. */
    private enum Outcome {
        UNKNOWN,
        SENT,
        LATE,
        ENDED
    }

    private final ServiceShares service;
    private final CallKind kind;
    private final ShareTally kindTally;
    private final Optional<ShareTally> organisationTally;
    private final Collection<ShareTally> tallies;
    private final double value;
    private Standing standing = new Standing.Neutral(1);
    private Outcome outcome = Outcome.UNKNOWN;

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
     * @param now         the time in nanoseconds
     * @param slackMillis milliseconds for which the call may wait and still be in time; below 0 if it cannot be
     */
    public void update(long now, double slackMillis) {
        kindTally.observeSlack(slackMillis);
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
     * Records that the call was sent to an upstream; only the first time counts.
     *
     * @param now the time in nanoseconds
     */
    public void onSent(long now) {
        if (outcome == Outcome.UNKNOWN) {
            outcome = Outcome.SENT;
            tallies.forEach(tally -> tally.addSent(now, value));
        }
    }

    /**
     * Records that the answer is late, because the call had to wait or for a gap between events.
     *
     * @param now the time in nanoseconds
     */
    public void onLate(long now) {
        if (outcome == Outcome.SENT) {
            outcome = Outcome.LATE;
            tallies.forEach(tally -> tally.deductValue(now, LATE_VALUE_LOSS * value));
        }
    }

    /**
     * Records that the call was refused for lack of capacity, here or by the last upstream tried.
     *
     * @param now the time in nanoseconds
     */
    public void onRefused(long now) {
        switch (outcome) {
            case UNKNOWN -> tallies.forEach(tally -> tally.addRefused(now, value));
            case SENT -> tallies.forEach(tally -> tally.changeToRefused(now, value));
            case LATE, ENDED -> {
                // An answer has begun, or the outcome is known.
            }
        }
        outcome = Outcome.ENDED;
    }

    /**
     * Records that the caller has left before an answer.
     *
     * @param now the time in nanoseconds
     */
    public void onLeft(long now) {
        if (outcome == Outcome.SENT) {
            tallies.forEach(tally -> tally.removeSent(now, value));
        }
        outcome = Outcome.ENDED;
    }
}
