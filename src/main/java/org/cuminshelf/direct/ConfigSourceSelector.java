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
final class ConfigSourceSelector {

    /**
     * Silence after which another control process is asked. A body of a thousand routes is deflated to 18 KB, 20 ms of
     * the smallest link; the rest is for a control process that is busy. Two such silences stay within the time in
     * which a change must be in force.
     */
    private static final long RESPONSE_TIMEOUT_NANOS = Durations.nanos(800);
    /** How long what a control process told counts; it tells twice a second. */
    private static final long ANNOUNCEMENT_RETENTION_NANOS = Durations.nanos(2_000);

    private record Announcement(long version, long receivedAtNanos) {}

    private final Map<Address, Announcement> announcements = new HashMap<>();
    private Optional<Address> pendingSource = Optional.empty();
    private long requestedAtNanos;
    private boolean parsing;

    /** A control process told the version that it holds. */
    void onVersionAnnounced(long now, Address control, long version) {
        announcements.put(control, new Announcement(version, now));
        announcements
                .values()
                .removeIf(announcement -> now - announcement.receivedAtNanos > ANNOUNCEMENT_RETENTION_NANOS);
    }

    /** Chooses whom to ask now for a body that is newer than the one held, if anyone is to be asked. */
    Optional<Address> selectSource(long now, long heldVersion) {
        if (now < nextDue(heldVersion)) {
            return Optional.empty();
        }
        Optional<Address> previousSource = pendingSource;
        Optional<Address> chosen = announcements.entrySet().stream()
                .filter(entry -> entry.getValue().version > heldVersion)
                .max(Comparator.comparing((Map.Entry<Address, Announcement> entry) ->
                                !previousSource.equals(Optional.of(entry.getKey())))
                        .thenComparingLong(entry -> entry.getValue().version)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
        pendingSource = chosen;
        requestedAtNanos = now;
        return chosen;
    }

    /** A body came and is being read. */
    void onBodyReceived() {
        pendingSource = Optional.empty();
        parsing = true;
    }

    /** A body was read. */
    void onBodyParsed() {
        parsing = false;
    }

    /** A control process has no newer body after all. */
    void onNoNewerBody(Address control) {
        announcements.remove(control);
        pendingSource = Optional.empty();
    }

    /** Whether a control process told of a version above the one held. */
    boolean knowsNewerThan(long heldVersion) {
        return announcements.values().stream().anyMatch(announcement -> announcement.version > heldVersion);
    }

    /** When someone is to be asked next. */
    long nextDue(long heldVersion) {
        if (!knowsNewerThan(heldVersion) || parsing) {
            return Core.NEVER;
        }
        return pendingSource.isPresent() ? requestedAtNanos + RESPONSE_TIMEOUT_NANOS : Long.MIN_VALUE;
    }
}
