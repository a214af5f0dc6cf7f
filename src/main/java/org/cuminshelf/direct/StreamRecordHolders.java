package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;

/**
 * The entries that keep the record of a stream, selected by consistent hashing, so that every entry finds them without
 * asking and a change of the entries moves few records. They are in different availability zones where possible.
 */
final class StreamRecordHolders {

    /** Entries that keep each record: it outlives the entry that began the stream and one more. */
    static final int MAX_HOLDERS = 3;

    private static final int POINTS_PER_ENTRY = 16;
    /** Points looked at for entries in further zones, which bounds the cost whatever the number of entries. */
    private static final int MAX_POINTS = 64;

    private final TreeMap<Long, Address> ring = new TreeMap<>();
    private final Map<Address, String> zones = new HashMap<>();

    private StreamRecordHolders(Map<Address, String> zonesByEntry) {
        zones.putAll(zonesByEntry);
        for (Address entry : zonesByEntry.keySet()) {
            for (int point = 0; point < POINTS_PER_ENTRY; point++) {
                ring.put(hash(entry.value() + '#' + point), entry);
            }
        }
    }

    /** Returns the selection among entries, given the availability zone of each. */
    static StreamRecordHolders among(Map<Address, String> zonesByEntry) {
        return new StreamRecordHolders(zonesByEntry);
    }

    private static long hash(String text) {
        return LongHashFunction.xx3().hashChars(text);
    }

    /** Returns the entries that keep the record of a stream; fewer than three if there are not as many. */
    List<Address> of(String stream) {
        List<Address> holders = new ArrayList<>(MAX_HOLDERS);
        List<Address> spare = new ArrayList<>();
        Set<String> usedZones = new HashSet<>();
        Long point = ring.ceilingKey(hash(stream));
        for (int step = 0; step < Math.min(MAX_POINTS, ring.size()) && holders.size() < MAX_HOLDERS; step++) {
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
}
