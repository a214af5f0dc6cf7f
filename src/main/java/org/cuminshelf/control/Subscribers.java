package org.cuminshelf.control;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Subscribe;

/** The processes that hear of changes from this control process. */
final class Subscribers {

    private static final long LEASE = Durations.nanos(4_000);

    /** One subscriber and what it holds. */
    static final class Row {
        final Address address;
        long incarnation;
        long heardAt;
        long configVersion;
        long directoryVersion;
        long directoryIncarnation;
        boolean wantsDirectory;
        boolean confirm;

        private Row(Address address) {
            this.address = address;
        }
    }

    private final Map<Address, Row> rows = new TreeMap<>();

    Row onSubscribe(long now, Address from, long incarnation, Subscribe subscribe) {
        Row row = rows.computeIfAbsent(from, Row::new);
        row.incarnation = incarnation;
        row.heardAt = now;
        row.configVersion = subscribe.getConfigVersion();
        row.directoryVersion = subscribe.getDirectoryVersion();
        row.directoryIncarnation = subscribe.getDirectoryIncarnation();
        row.wantsDirectory = subscribe.getWantsDirectory();
        return row;
    }

    Collection<Row> rows() {
        return rows.values();
    }

    int entries() {
        return (int) rows.values().stream().filter(row -> row.wantsDirectory).count();
    }

    void tick(long now) {
        rows.values().removeIf(row -> now - row.heardAt > LEASE);
    }

    /** The lowest version of the configuration in force at any subscriber. */
    long lowestVersion(long highest) {
        return rows.values().stream().mapToLong(row -> row.configVersion).min().orElse(highest);
    }
}
