package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Update;

/** Tests what an entry knows of the other entries. */
class EntryListsTest {

    private static final Address CONTROL = Address.of("10.0.0.1:7000");

    private static void send(EntryLists lists, long millis, String... addresses) {
        Update update = Update.newBuilder()
                .addAllEntryAddresses(List.of(addresses))
                .setEntriesHash(addresses.length)
                .build();
        lists.onUpdate(Durations.nanos(millis), CONTROL, update);
    }

    /** Guards against entries that divide an allowance by a list which lacks those beyond a partition. */
    @Example
    void theLargestNumberOfEntriesIsRememberedThroughAPartitionOfAnHour() {
        EntryLists lists = new EntryLists(Durations.nanos(1_500));
        send(lists, 0, "10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1");
        send(lists, 1_000, "10.0.1.1:1");
        send(lists, 3_600_000, "10.0.1.1:1");
        assertThat(lists.entries()).hasSize(1);
        assertThat(lists.largestCount()).isEqualTo(3);
    }

    @Example
    void entriesThatWereTakenAwayCountNoLongerInTheEnd() {
        EntryLists lists = new EntryLists(Durations.nanos(1_500));
        send(lists, 0, "10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1");
        send(lists, 5_500_000, "10.0.1.1:1");
        assertThat(lists.largestCount()).isEqualTo(1);
    }
}
