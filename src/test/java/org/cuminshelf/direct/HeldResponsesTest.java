package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import net.jqwik.api.Example;

/** Guards against answers without end, of several upstreams at a time, that take up the memory of an entry. */
class HeldResponsesTest {

    private static final int MEGABYTE = 1 << 20;
    private static final long HEAP_BYTES = 140L * MEGABYTE;

    private final HeldResponses held = HeldResponses.ofHeap(HEAP_BYTES);

    private OptionalLong record(long attempt, int megabytes, boolean statesLength) {
        return held.record(attempt, megabytes * MEGABYTE, statesLength);
    }

    @Example
    void theLargestResponseIsHeldWhole() {
        for (int megabytes = 1; megabytes <= 16; megabytes++) {
            assertThat(record(1, megabytes, false)).isEmpty();
        }
        assertThat(held.totalBytes()).isEqualTo(16 * MEGABYTE);
    }

    @Example
    void ofManyLargeResponsesTheLargestIsGivenUp() {
        assertThat(record(1, 6, false)).isEmpty();
        assertThat(record(2, 8, false)).isEmpty();
        assertThat(record(3, 4, false)).hasValue(2);
        held.remove(2);
        assertThat(record(3, 5, false)).isEmpty();
    }

    @Example
    void aResponseThatStatesItsLengthIsGivenUpAfterThoseThatMayHaveNoEnd() {
        assertThat(record(1, 12, true)).isEmpty();
        assertThat(record(2, 7, false)).hasValue(2);
        held.remove(2);
        assertThat(record(3, 7, true)).hasValue(1);
    }

    @Example
    void whatIsHeldByEndedAttemptsIsForgotten() {
        for (int attempt = 1; attempt <= 100; attempt++) {
            assertThat(record(attempt, 10, false)).isEmpty();
            held.remove(attempt);
        }
        assertThat(record(101, 10, false)).isEmpty();
        assertThat(record(101, 0, false)).isEmpty();
        assertThat(held.totalBytes()).isZero();
    }
}
