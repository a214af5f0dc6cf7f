package org.cuminshelf.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.HoldBack;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.poison.RequestAttribute;
import org.cuminshelf.poison.TrialTurn;

/**
 * Lets one request with a suspected or quarantined attribute through from time to time, like a half-open circuit
 * breaker.
 *
 * <p>Failures it guards against: of the requests that were held back, many are sent at one time, and each crashes
 * another upstream. Or an attribute that many requests share was quarantined by mistake, and all of them are
 * refused until an operator notices. A trial that succeeds ends the quarantine. One that fails crashes an upstream, so
 * the time between trials grows with each, and of all entries one makes the trial.
 */
final class AttributeTrials {

    private static final long FIRST_TRIAL_AFTER_NANOS = Durations.nanos(30_000);
    private static final int INTERVAL_GROWTH = 4;
    /** Failed trials after which the interval, then 34 hours, grows no more. */
    private static final int MAX_GROWTH_STEPS = 6;

    /**
     * When the next trial of an attribute is due.
     *
     * @param generation   generation of its quarantine
     * @param failedTrials trials that failed before
     * @param dueNanos     when the trial is due
     */
    private record Schedule(int generation, int failedTrials, long dueNanos) {

        private boolean isOf(QuarantinedRequest row) {
            return generation == row.getGeneration() && failedTrials == row.getFailedTrials();
        }
    }

    /** Time between the first trials of two entries, in which the news of a crash reaches the second. */
    private static final long TRIAL_SPACING_NANOS = Durations.nanos(250);
    /** Entries whose first trials are spaced; the others follow with the last of these. */
    private static final int MAX_SPACED_ENTRIES = 4;
    /** Time between two trials of one entry, so that a crash is not put down to both. */
    private static final long TRIAL_INTERVAL_NANOS = Durations.nanos(500);
    /** Entries that may begin trials in one turn, so that there is a spacing before the next turn too. */
    private static final int ENTRIES_PER_TURN = 2;
    /** Time for which requests with several suspected attributes wait after one that had one of them alone. */
    private static final long SEEN_ALONE_NANOS = Durations.nanos(30_000);

    private final Address self;
    /** When this entry last let a request with a suspected attribute through. */
    private OptionalLong lastTrialNanos = OptionalLong.empty();

    private final Map<Fingerprint, Schedule> schedules = new HashMap<>();
    /** When a request with each suspected attribute but without another one was last seen. */
    private final Map<Fingerprint, Long> seenAloneNanos = new HashMap<>();

    private List<Address> entries = List.of();

    AttributeTrials(Address self) {
        this.self = self;
    }

    void onEntries(List<Address> addresses) {
        entries = addresses;
    }

    /**
     * Returns whether a request with suspected attributes may be let through: the times of their holds are over, and it
     * is the turn of one of them. If it crashes an upstream, that is evidence against all of them, so that one with
     * several attributes is no trial as long as others show more.
     *
     * @param now   the time in nanoseconds
     * @param holds the holds of the request's attributes
     */
    boolean isDue(long now, List<HoldBack> holds) {
        boolean free = lastTrialNanos.isEmpty() || now - lastTrialNanos.getAsLong() >= TRIAL_INTERVAL_NANOS;
        return free
                && (holds.size() == 1 || areSeenOnlyTogether(now, holds))
                && holds.stream().allMatch(hold -> now >= hold.untilNanos())
                && holds.stream().anyMatch(hold -> isTurn(now, hold));
    }

    /** Returns whether each attribute has had a turn, and no request had one of them but no other one. */
    private boolean areSeenOnlyTogether(long now, List<HoldBack> holds) {
        return holds.stream()
                .allMatch(hold -> hold.turn().rounds(now) > 0
                        && !seenAloneNanos.containsKey(hold.attribute().fingerprint()));
    }

    private boolean isTurn(long now, HoldBack hold) {
        TrialTurn turn = hold.turn();
        int rank = Math.min(rank(hold.attribute().fingerprint()), MAX_SPACED_ENTRIES);
        if (turn.count() == 1) {
            return now >= hold.untilNanos() + TRIAL_SPACING_NANOS * rank;
        }
        int ranks = Math.clamp(entries.size(), 1, MAX_SPACED_ENTRIES + 1);
        long rankInTurn = Math.floorMod(rank - ENTRIES_PER_TURN * turn.rounds(now), ranks);
        long beganAt = Math.max(hold.untilNanos(), turn.beganAt(now));
        return turn.isOpen(now) && now >= beganAt + TRIAL_SPACING_NANOS * rankInTurn;
    }

    /** Records that a request has one suspected attribute only, so that it can show whether this one is the cause. */
    void onSeenAlone(long now, RequestAttribute attribute) {
        seenAloneNanos.put(attribute.fingerprint(), now);
    }

    /** Records that a request with a suspected attribute is let through. */
    void onStarted(long now) {
        lastTrialNanos = OptionalLong.of(now);
    }

    /** Returns how many entries make a trial of a suspected attribute before this one, by rendezvous hashing. */
    private int rank(Fingerprint attribute) {
        long own = hash(attribute + " ", self);
        return (int) entries.stream()
                .filter(entry -> hash(attribute + " ", entry) > own)
                .count();
    }

    private static long hash(String trial, Address entry) {
        return LongHashFunction.xx3().hashChars(trial + entry.value());
    }

    /** Returns whether a request with a quarantined attribute is let through now; the next one then has to wait. */
    boolean tryStart(long now, QuarantinedRequest row) {
        if (now < dueNanos(now, row) || !owner(row).equals(self)) {
            return false;
        }
        schedules.put(Quarantine.fingerprint(row), scheduleFrom(now, row));
        return true;
    }

    /** Returns when the next trial is due, in nanoseconds; it may be overdue. */
    long dueNanos(long now, QuarantinedRequest row) {
        Fingerprint attribute = Quarantine.fingerprint(row);
        Schedule known = schedules.get(attribute);
        if (known == null || !known.isOf(row)) {
            known = scheduleFrom(now, row);
            schedules.put(attribute, known);
        }
        return known.dueNanos;
    }

    /** Drops what is not quarantined any more, and what was seen long ago. */
    void retain(long now, Quarantine quarantine) {
        seenAloneNanos.values().removeIf(seen -> now - seen >= SEEN_ALONE_NANOS);
        schedules.keySet().removeIf(attribute -> !quarantine.isQuarantined(attribute));
    }

    private static Schedule scheduleFrom(long now, QuarantinedRequest row) {
        int steps = Math.min(row.getFailedTrials(), MAX_GROWTH_STEPS);
        long interval = FIRST_TRIAL_AFTER_NANOS * (long) Math.pow(INTERVAL_GROWTH, steps);
        return new Schedule(row.getGeneration(), row.getFailedTrials(), now + interval);
    }

    /** Selects the entry that makes the next trial, by rendezvous hashing. */
    private Address owner(QuarantinedRequest row) {
        String trial = Quarantine.fingerprint(row) + " " + row.getFailedTrials() + " ";
        return entries.stream()
                .max(Comparator.comparingLong(entry -> LongHashFunction.xx3().hashChars(trial + entry.value())))
                .orElse(self);
    }
}
