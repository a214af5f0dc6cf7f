package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Update;

/**
 * The lists of entries that control processes send, and their union, which all entries use.
 *
 * <p>Guards against a set of entries that alternates while control processes hear different ones: a record would be
 * looked for at entries to which it was never sent.
 */
final class EntryLists {

    /**
     * Time for which the largest number of entries is remembered: entries beyond a partition, or unknown to control
     * processes that have just started, go on meanwhile.
     */
    private static final long LARGEST_COUNT_RETENTION_NANOS = Durations.nanos(5_400_000);
    /** Time without an update after which a process's list is dropped, and requested anew when it is heard again. */
    private static final long LIST_RETENTION_NANOS = Durations.nanos(60_000);

    /** The list of one control process. */
    private static final class SentList {
        private long hash;
        private Map<Address, String> zonesByEntry = Map.of();
        private long lastUpdateNanos;
    }

    private final long maxSilenceNanos;
    private final Map<Address, SentList> listsByProcess = new HashMap<>();
    /** Hashes of the lists that the union was built from. */
    private Set<Long> unitedHashes = Set.of();

    private Map<Address, String> zonesByEntry = Map.of();
    private List<Address> entries = List.of();
    private int largestCount;
    /** When so many entries were last listed, in nanoseconds. */
    private long largestCountSeenNanos;

    /**
     * Creates an instance without entries.
     *
     * @param maxSilenceNanos time without an update after which a control process's list no longer counts
     */
    EntryLists(long maxSilenceNanos) {
        this.maxSilenceNanos = maxSilenceNanos;
    }

    /** Returns the hash of the list that a control process has sent, 0 if it has sent none. */
    long hash(Address process) {
        SentList list = listsByProcess.get(process);
        return list == null ? 0 : list.hash;
    }

    /** Returns the entries that any control process hears, sorted. */
    List<Address> entries() {
        return entries;
    }

    /** Returns the largest number of entries that were listed at one time lately, 0 before the first list. */
    int largestCount() {
        return largestCount;
    }

    private void updateLargestCount(long now) {
        boolean outdated = now - largestCountSeenNanos > LARGEST_COUNT_RETENTION_NANOS;
        if (entries.size() >= largestCount || outdated) {
            largestCount = entries.size();
            largestCountSeenNanos = now;
        }
    }

    /** Returns the availability zone of each of the entries. */
    Map<Address, String> zonesByEntry() {
        return zonesByEntry;
    }

    /** Takes the list that an update contains, if it does; returns whether the union has changed. */
    boolean onUpdate(long now, Address from, Update update) {
        listsByProcess.values().removeIf(list -> now - list.lastUpdateNanos > LIST_RETENTION_NANOS);
        SentList list = listsByProcess.computeIfAbsent(from, process -> new SentList());
        list.lastUpdateNanos = now;
        boolean received = !update.getEntryAddressesList().isEmpty();
        if (received) {
            list.hash = update.getEntriesHash();
            list.zonesByEntry = zonesByEntry(update);
        }
        Set<Long> hashes = new TreeSet<>();
        listsByProcess.values().stream().filter(sent -> counts(now, sent)).forEach(sent -> hashes.add(sent.hash));
        boolean changed = !hashes.isEmpty() && (received || !hashes.equals(unitedHashes)) && unite(now, hashes);
        updateLargestCount(now);
        return changed;
    }

    private boolean counts(long now, SentList list) {
        return !list.zonesByEntry.isEmpty() && now - list.lastUpdateNanos <= maxSilenceNanos;
    }

    private boolean unite(long now, Set<Long> hashes) {
        unitedHashes = hashes;
        Map<Address, String> union = new TreeMap<>();
        listsByProcess.values().stream()
                .filter(list -> counts(now, list))
                // Of two zones stated for one entry, any will do as long as all entries take the same.
                .forEach(list -> list.zonesByEntry.forEach((entry, zone) ->
                        union.merge(entry, zone, (one, other) -> one.compareTo(other) > 0 ? one : other)));
        if (union.equals(zonesByEntry)) {
            return false;
        }
        zonesByEntry = union;
        entries = List.copyOf(union.keySet());
        return true;
    }

    private static Map<Address, String> zonesByEntry(Update update) {
        Map<Address, String> zones = new TreeMap<>();
        for (int index = 0; index < update.getEntryAddressesCount(); index++) {
            String zone = index < update.getEntryZonesCount() ? update.getEntryZones(index) : "";
            zones.put(Address.of(update.getEntryAddresses(index)), zone);
        }
        return zones;
    }
}
