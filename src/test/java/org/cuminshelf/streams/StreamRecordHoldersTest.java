package org.cuminshelf.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.core.Address;

/** Tests which entries and control processes keep the record of a stream. */
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

    /** Guards against records that are lost with all entries. */
    @Property(tries = 20, seed = "45")
    void eachRecordIsKeptByTwoControlProcessesTooOrByAllIfTheyAreFewer(@ForAll @IntRange(min = 1, max = 9) int count) {
        Set<Address> control = control(count);
        StreamRecordHolders holders = StreamRecordHolders.among(entries(5)).withControl(control);
        Set<Address> used = new HashSet<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            List<Address> chosen = holders.control("q" + stream);
            assertThat(chosen).hasSize(Math.min(2, count)).doesNotHaveDuplicates();
            assertThat(control).containsAll(chosen);
            assertThat(holders.of("q" + stream)).hasSize(3 + chosen.size()).containsAll(chosen);
            used.addAll(chosen);
        }
        assertThat(used).isEqualTo(control);
    }

    /** Guards against records that are looked for elsewhere as one control process is replaced by another. */
    @Property(tries = 20, seed = "46")
    void theReplacementOfAControlProcessLeavesOneOfTheTwo(@ForAll @IntRange(min = 2, max = 9) int count) {
        Set<Address> before = control(count);
        Set<Address> after = new TreeSet<>(before);
        after.remove(before.iterator().next());
        after.add(Address.of("10.1.0.1:7000"));
        StreamRecordHolders holders = StreamRecordHolders.among(entries(5));
        for (int stream = 0; stream < STREAMS; stream++) {
            assertThat(holders.withControl(before).control("q" + stream))
                    .containsAnyElementsOf(holders.withControl(after).control("q" + stream));
        }
    }

    private static Set<Address> control(int count) {
        Set<Address> control = new TreeSet<>();
        for (int number = 0; number < count; number++) {
            control.add(Address.of("10.2.0." + number + ":7000"));
        }
        return control;
    }

    @Example
    void withoutEntriesThereIsNoHolder() {
        assertThat(StreamRecordHolders.among(Map.of()).of("q")).isEmpty();
    }
}
