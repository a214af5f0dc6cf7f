package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests the time by which a previous run of a process had ended. */
class ProcessStartTest {

    /*
     * A process is restarted within one JVM. Its first run may have granted a lease to a leader until the second run
     * started, so the start of the JVM is too early for the second run.
     */
    @Example
    void onlyTheFirstProcessOfAJvmCountsFromTheStartOfTheJvm() {
        ProcessStart.previousRunEndedByNanos();
        long beforeSecondCallNanos = System.nanoTime();
        assertThat(ProcessStart.previousRunEndedByNanos()).isGreaterThanOrEqualTo(beforeSecondCallNanos);
    }
}
