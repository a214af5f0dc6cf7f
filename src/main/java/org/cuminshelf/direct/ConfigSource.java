package org.cuminshelf.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/**
 * Chooses the control process from which this entry gets the body of a newer configuration.
 *
 * <p>Failure it guards against: a configuration of a thousand routes takes the system down for seconds. It is some
 * 300 KB, and every control process sent it to every entry, again with each change of the directory and each answer,
 * until the entry said that it has it. Five copies fill an entry's link of 7 Mbit/s for longer than it takes to ask for
 * five more, and requests share that link: on a calm day of 18 entries 0.18 of what was asked for in the two seconds
 * after such a change was earned, and 0.95 before it. So control tells versions only; here one body is under way at a
 * time, from one control process, and another one is asked only after a silence.
 */
final class ConfigSource {

    /**
     * Silence after which another control process is asked. A body of a thousand routes is deflated to 18 KB, 20 ms of
     * the smallest link; the rest is for a control process that is busy. Two such silences stay within the time in
     * which a change must be in force.
     */
    private static final long SILENCE = Durations.nanos(800);
    /** How long what a control process told counts; it tells twice a second. */
    private static final long TOLD_KEPT = Durations.nanos(2_000);

    private record Told(long version, long at) {}

    private final Map<Address, Told> told = new HashMap<>();
    private Optional<Address> asked = Optional.empty();
    private long askedAt;
    private boolean reading;

    /** A control process told the version that it holds. */
    void told(long now, Address control, long version) {
        told.put(control, new Told(version, now));
        told.values().removeIf(one -> now - one.at > TOLD_KEPT);
    }

    /** Chooses whom to ask now for a body that is newer than the one held, if anyone is to be asked. */
    Optional<Address> next(long now, long held) {
        if (now < nextDue(held)) {
            return Optional.empty();
        }
        Optional<Address> silent = asked;
        Optional<Address> chosen = told.entrySet().stream()
                .filter(entry -> entry.getValue().version > held)
                .max(Comparator.comparing(
                                (Map.Entry<Address, Told> entry) -> !silent.equals(Optional.of(entry.getKey())))
                        .thenComparingLong(entry -> entry.getValue().version)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
        asked = chosen;
        askedAt = now;
        return chosen;
    }

    /** A body came and is being read. */
    void arrived() {
        asked = Optional.empty();
        reading = true;
    }

    /** A body was read. */
    void read() {
        reading = false;
    }

    /** A control process has no newer body after all. */
    void hasNone(Address control) {
        told.remove(control);
        asked = Optional.empty();
    }

    /** Whether a control process told of a version above the one held. */
    boolean knowsNewer(long held) {
        return told.values().stream().anyMatch(one -> one.version > held);
    }

    /** When someone is to be asked next. */
    long nextDue(long held) {
        if (!knowsNewer(held) || reading) {
            return Core.NEVER;
        }
        return asked.isPresent() ? askedAt + SILENCE : Long.MIN_VALUE;
    }
}
