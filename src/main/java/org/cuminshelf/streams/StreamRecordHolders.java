package org.cuminshelf.streams;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;

/**
 * The processes that keep the record of a stream, found by every entry without asking: three entries by consistent
 * hashing, in different availability zones where possible, and two control processes by rendezvous hashing. A change of
 * the entries or of the control processes moves few records.
 *
 * <p>Guards against records that are lost with all processes of one kind.
 */
public final class StreamRecordHolders {

    /** Entries that keep each record: it outlives the entry that began the stream and one more. */
    static final int MAX_HOLDERS = 3;

    /** Control processes that keep each record. */
    static final int MAX_CONTROL_HOLDERS = 2;

    private static final int POINTS_PER_ENTRY = 16;
    /** Points looked at for entries in further zones, which bounds the cost whatever the number of entries. */
    private static final int MAX_POINTS = 64;

    private final TreeMap<Long, Address> ring;
    private final Map<Address, String> zones;
    private final int zoneCount;
    /** The control processes, each with the hash function that ranks it for a stream. */
    private final Map<Address, LongHashFunction> rankings = new TreeMap<>();

    private StreamRecordHolders(
            TreeMap<Long, Address> ring, Map<Address, String> zones, Collection<Address> controlProcesses) {
        this.ring = ring;
        this.zones = zones;
        this.zoneCount = Set.copyOf(zones.values()).size();
        controlProcesses.forEach(process -> rankings.put(process, LongHashFunction.xx3(hash(process.value()))));
    }

    /**
     * Returns the selection among entries, without control processes.
     *
     * @param zonesByEntry the availability zone of each entry
     * @return the selection
     */
    public static StreamRecordHolders among(Map<Address, String> zonesByEntry) {
        TreeMap<Long, Address> ring = new TreeMap<>();
        for (Address entry : zonesByEntry.keySet()) {
            for (int point = 0; point < POINTS_PER_ENTRY; point++) {
                ring.put(hash(entry.value() + '#' + point), entry);
            }
        }
        return new StreamRecordHolders(ring, Map.copyOf(zonesByEntry), List.of());
    }

    /**
     * Returns the selection among the same entries and the given control processes.
     *
     * @param controlProcesses the control processes
     * @return the selection
     */
    public StreamRecordHolders withControl(Collection<Address> controlProcesses) {
        return new StreamRecordHolders(ring, zones, controlProcesses);
    }

    private static long hash(String text) {
        return LongHashFunction.xx3().hashChars(text);
    }

    /**
     * Returns the control processes among which holders are selected.
     *
     * @return the control processes
     */
    public Set<Address> controlProcesses() {
        return rankings.keySet();
    }

    /**
     * Returns all processes that keep the record of a stream.
     *
     * @param stream id of the caller's request that brought the first event
     * @return the entries, then the control processes
     */
    public List<Address> of(String stream) {
        List<Address> holders = entries(stream);
        holders.addAll(control(stream));
        return holders;
    }

    /**
     * Returns the control processes that keep the record of a stream.
     *
     * @param stream id of the caller's request that brought the first event
     * @return two control processes, or all if there are fewer
     */
    public List<Address> control(String stream) {
        Comparator<Address> byRank =
                Comparator.comparingLong(process -> rankings.get(process).hashChars(stream));
        return rankings.keySet().stream()
                .sorted(byRank.reversed())
                .limit(MAX_CONTROL_HOLDERS)
                .toList();
    }

    /**
     * Returns the entries that keep the record of a stream.
     *
     * @param stream id of the caller's request that brought the first event
     * @return three entries, or all if there are fewer
     */
    public List<Address> entries(String stream) {
        List<Address> holders = new ArrayList<>(MAX_HOLDERS);
        List<Address> spare = new ArrayList<>();
        Set<String> usedZones = new HashSet<>();
        Long point = ring.ceilingKey(hash(stream));
        for (int step = 0; step < Math.min(MAX_POINTS, ring.size()) && !isComplete(holders, spare); step++) {
            point = point == null ? ring.firstKey() : point;
            Address entry = ring.get(point);
            if (!holders.contains(entry) && !spare.contains(entry)) {
                (usedZones.add(zones.get(entry)) ? holders : spare).add(entry);
            }
            point = ring.higherKey(point);
        }
        int missing = Math.min(MAX_HOLDERS - holders.size(), spare.size());
        holders.addAll(spare.subList(0, missing));
        return holders;
    }

    /** Returns whether no further entry can be selected, as there are enough or each zone has one. */
    private boolean isComplete(List<Address> holders, List<Address> spare) {
        boolean allZonesUsed = holders.size() == zoneCount;
        return holders.size() == MAX_HOLDERS || allZonesUsed && holders.size() + spare.size() >= MAX_HOLDERS;
    }
}
