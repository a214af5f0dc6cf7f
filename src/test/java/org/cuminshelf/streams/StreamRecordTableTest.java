package org.cuminshelf.streams;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Tests which records of streams a process keeps, and for how long. */
class StreamRecordTableTest {

    private static final int MAX_RECORDS = 3;
    private static final long START_NANOS = Durations.nanos(10_000);

    private final StreamRecordTable records = StreamRecordTable.create(MAX_RECORDS);

    private void put(long millis, String stream, String version) {
        long now = START_NANOS + Durations.nanos(millis);
        records.put(now, stream, "s", version, now);
    }

    /** Guards against memory that grows with the rate of streams, and against the loss of the latest instead. */
    @Example
    void aboveTheLimitTheLeastRecentlyRecordedIsDropped() {
        put(0, "a", "v1");
        put(1, "b", "v1");
        put(2, "c", "v1");
        put(3, "a", "v1");
        put(4, "d", "v1");
        assertThat(records.size()).isEqualTo(MAX_RECORDS);
        assertThat(records.find("b")).isEmpty();
        assertThat(records.find("a")).isPresent();
    }

    @Example
    void aRecordThatIsRepeatedKeepsTheTimeOfItsFirstEvent() {
        put(0, "a", "v1");
        put(700, "a", "v1");
        long now = START_NANOS + Durations.nanos(900);
        assertThat(records.toMessage(now, "a").orElseThrow().getAgeMs()).isEqualTo(900);
    }

    /** Guards against a guess, as the last one received is not the one of which the caller holds events. */
    @Example
    void aStreamOfTwoVersionsStaysUnknown() {
        put(0, "a", "v1");
        put(1, "a", "v2");
        put(2, "a", "v2");
        assertThat(records.find("a")).isEmpty();
        assertThat(records.toMessage(START_NANOS, "a")).isEmpty();
    }

    @Example
    void recordsSinceATimeAreThoseLastRecordedFirst() {
        put(0, "a", "v1");
        put(10, "b", "v1");
        put(20, "c", "v1");
        List<String> streams = new ArrayList<>();
        records.forEachRecordedSince(START_NANOS + Durations.nanos(10), streams::add);
        assertThat(streams).containsExactly("c", "b");
    }

    @Example
    void recordsAreRemovedAfterTheirRetention() {
        put(0, "a", "v1");
        put(100, "b", "v1");
        records.expire(START_NANOS + StreamRecordTable.RETENTION_NANOS + Durations.nanos(50));
        assertThat(records.find("a")).isEmpty();
        assertThat(records.find("b")).isPresent();
    }

    @Example
    void aTableForNoRecordsIsRejected() {
        assertThatThrownBy(() -> StreamRecordTable.create(0)).isInstanceOf(IllegalArgumentException.class);
    }
}
