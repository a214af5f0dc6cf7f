package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Since when a process is known to have said nothing before. */
class ProcessStartTest {

    /* Two lives of one process in one program: the first may have answered a leader until the second began. */
    @Example
    void onlyTheFirstProcessOfAProgramBeganWithIt() {
        ProcessStart.previousRunEndedByNanos();
        long before = System.nanoTime();
        assertThat(ProcessStart.previousRunEndedByNanos()).isGreaterThanOrEqualTo(before);
    }
}
