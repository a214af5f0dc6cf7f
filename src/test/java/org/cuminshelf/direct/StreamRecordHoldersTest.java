package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.core.Address;

/** Tests which entries keep the record of a stream. */
class StreamRecordHoldersTest {

    private static final int ZONES = 4;
    private static final int STREAMS = 200;

    private static Map<Address, String> entries(int count) {
        Map<Address, String> zones = new HashMap<>();
        for (int number = 0; number < count; number++) {
            zones.put(Address.of("10.0." + number / 200 + "." + number % 200 + ":7000"), "z" + number % ZONES);
        }
        return zones;
    }

    @Property(tries = 40, seed = "43")
    void eachRecordIsKeptByUpToThreeEntriesInDifferentZones(@ForAll @IntRange(min = 1, max = 330) int count) {
        Map<Address, String> zones = entries(count);
        StreamRecordHolders holders = StreamRecordHolders.among(zones);
        for (int stream = 0; stream < STREAMS; stream++) {
            List<Address> chosen = holders.of("q" + stream);
            assertThat(chosen).hasSize(Math.min(3, count)).doesNotHaveDuplicates();
            assertThat(chosen.stream().map(zones::get).distinct()).hasSize(Math.min(3, Math.min(count, ZONES)));
        }
    }

    /** Guards against records that are lost to those who look for them as one entry goes. */
    @Property(tries = 20, seed = "44")
    void theLossOfAnEntryLeavesTwoOfTheThree(@ForAll @IntRange(min = 5, max = 100) int count) {
        Map<Address, String> before = entries(count);
        StreamRecordHolders holders = StreamRecordHolders.among(before);
        Map<Address, String> after = new HashMap<>(before);
        after.remove(new ArrayList<>(before.keySet()).getFirst());
        StreamRecordHolders remaining = StreamRecordHolders.among(after);
        int kept = 0;
        for (int stream = 0; stream < STREAMS; stream++) {
            HashSet<Address> common = new HashSet<>(holders.of("q" + stream));
            common.retainAll(remaining.of("q" + stream));
            kept += common.size() >= 2 ? 1 : 0;
        }
        assertThat(kept).isGreaterThanOrEqualTo(STREAMS * 95 / 100);
    }

    @Example
    void withoutEntriesThereIsNoHolder() {
        assertThat(StreamRecordHolders.among(Map.of()).of("q")).isEmpty();
    }
}
