package org.cuminshelf.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.planning.CumulativeDemand;

/** The processes that hear of changes from this control process. */
final class SubscriberTable {

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
        /** Whether it asks for the body of a configuration itself. */
        boolean fetchesConfig;
        /** Hash of the list of entries that it holds. */
        long entriesHash;
        /** Up to which of its own changes it has told what it knows of poison requests. */
        long poisonHeard;

        /** Clock reading of its last question, and Unix microseconds at which that was taken in. */
        long askedAt;

        long takenAt;
        /** Version of what it counted of usage up to which nothing is missing here. */
        long usageHeard;

        List<OfferedWork> offered = List.of();

        private Row(Address address) {
            this.address = address;
        }
    }

    private final Map<Address, Row> rows = new TreeMap<>();
    private final Map<String, CumulativeDemand> demands = new TreeMap<>();

    Row onSubscribe(long now, Address from, long incarnation, Subscribe subscribe) {
        boolean known = rows.containsKey(from);
        Row row = rows.computeIfAbsent(from, Row::new);
        if (row.incarnation != incarnation) {
            // Its changes are numbered anew: what was heard of its former life says nothing of them.
            row.incarnation = incarnation;
            row.poisonHeard = 0;
        }
        row.heardAt = now;
        row.askedAt = subscribe.getAskedAtNs();
        row.configVersion = subscribe.getConfigVersion();
        row.directoryVersion = subscribe.getDirectoryVersion();
        row.directoryIncarnation = subscribe.getDirectoryIncarnation();
        row.wantsDirectory = subscribe.getWantsDirectory();
        row.fetchesConfig = subscribe.getFetchesConfig();
        row.entriesHash = subscribe.getEntriesHash();
        // One that tells only what is new to a former life of this process is asked for all.
        if (subscribe.getPoisonSince() <= row.poisonHeard) {
            row.poisonHeard = Math.max(row.poisonHeard, subscribe.getPoisonVersion());
        }
        if (known) {
            note(row, subscribe.getOfferedList());
        }
        row.offered = subscribe.getOfferedList();
        return row;
    }

    /**
     * Adds what an entry was offered since it last told. A restarted entry counts anew; the sum goes on rising.
     *
     * <p>What an entry tells first is only where its count stands. Guards against a control process that was restarted,
     * or that an entry could not reach for a while: all that the entry was ever offered would be the work of one
     * moment, and for seconds a hundred engines would seem to be wanted.
     */
    private void note(Row row, List<OfferedWork> told) {
        for (OfferedWork work : told) {
            OfferedWork before = row.offered.stream()
                    .filter(known -> known.getModel().equals(work.getModel()))
                    .filter(known -> known.getPrefill() <= work.getPrefill())
                    .findFirst()
                    .orElse(OfferedWork.getDefaultInstance());
            CumulativeDemand sum = demands.getOrDefault(work.getModel(), new CumulativeDemand(0, 0));
            demands.put(
                    work.getModel(),
                    new CumulativeDemand(
                            sum.prefill() + work.getPrefill() - before.getPrefill(),
                            sum.decode() + Math.max(0, work.getDecode() - before.getDecode())));
        }
    }

    /** Work that all entries were offered for a model, as far as this process was told. */
    CumulativeDemand demand(String model) {
        return demands.getOrDefault(model, new CumulativeDemand(0, 0));
    }

    Collection<Row> rows() {
        return rows.values();
    }

    /** Addresses of the entries, in order. */
    List<String> entries() {
        return rows.values().stream()
                .filter(row -> row.wantsDirectory)
                .map(row -> row.address.value())
                .toList();
    }

    void tick(long now) {
        rows.values().removeIf(row -> now - row.heardAt > LEASE);
    }

    /** The lowest version of the configuration in force at any subscriber. */
    long lowestVersion(long highest) {
        return rows.values().stream().mapToLong(row -> row.configVersion).min().orElse(highest);
    }
}
