package org.cuminshelf.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/**
 * Selects the control process from which this entry fetches the body of a newer configuration. Control processes
 * announce versions only; the entry fetches one body at a time from one of them, and tries another after a timeout.
 *
 * <p>Failure it guards against: a configuration of a thousand routes, some 300 KB, congests the entries' links for
 * seconds. When every control process sent the body with each update until the entry acknowledged it, five copies
 * occupied an entry's 7 Mbit/s link for longer than it takes to request five more, and caller requests share that link.
 * With 18 entries at low load, goodput in the two seconds after such a change fell from 0.95 to 0.18 of the offered
 * load.
 */
final class ConfigSourceSelector {

    /**
     * Timeout after which another control process is asked. A body of a thousand routes is 18 KB compressed, which
     * takes 20 ms on the slowest link; the rest allows for a busy control process. Two timeouts fit in the time within
     * which a change must be in force.
     */
    private static final long RESPONSE_TIMEOUT_NANOS = Durations.nanos(800);
    /** Validity of an announcement; control processes announce their version twice a second. */
    private static final long ANNOUNCEMENT_RETENTION_NANOS = Durations.nanos(2_000);

    private record Announcement(long version, long receivedAtNanos) {}

    private final Map<Address, Announcement> announcements = new HashMap<>();
    private Optional<Address> pendingSource = Optional.empty();
    private long requestedAtNanos;
    private boolean parsing;

    /** Records the version that a control process announced. */
    void onVersionAnnounced(long now, Address control, long version) {
        announcements.put(control, new Announcement(version, now));
        announcements
                .values()
                .removeIf(announcement -> now - announcement.receivedAtNanos > ANNOUNCEMENT_RETENTION_NANOS);
    }

    /**
     * Selects the control process to fetch a body newer than the held version from. Prefers one that has not just timed
     * out, then the highest version, then the highest address; returns empty if no fetch is due.
     */
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

    /** Records that a newer body was received and is being parsed. */
    void onBodyReceived() {
        pendingSource = Optional.empty();
        parsing = true;
    }

    /** Records that the body was parsed, with or without success. */
    void onBodyParsed() {
        parsing = false;
    }

    /** Records that a control process responded without a newer body. */
    void onNoNewerBody(Address control) {
        announcements.remove(control);
        pendingSource = Optional.empty();
    }

    /** Whether a control process has announced a version above the held one. */
    boolean knowsNewerThan(long heldVersion) {
        return announcements.values().stream().anyMatch(announcement -> announcement.version > heldVersion);
    }

    /** When the next fetch is due; {@link Core#NEVER} if there is nothing to fetch or a body is being parsed. */
    long nextDue(long heldVersion) {
        if (!knowsNewerThan(heldVersion) || parsing) {
            return Core.NEVER;
        }
        return pendingSource.isPresent() ? requestedAtNanos + RESPONSE_TIMEOUT_NANOS : Long.MIN_VALUE;
    }
}
