package org.cuminshelf.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.replica.DurableState;

/** Compaction and recovery of a log with large entries: how much they hold, and what failures in between leave. */
class LogCompactionTest {

    private static final int ENTRY_BYTES = 3_000;
    private static final int ENTRIES = 5;
    private static final int SNAPSHOT_INDEX = 3;
    private static final int STEP_BYTES = 7;

    // Guards against a start that ends for want of memory, as recovery held the whole log at once.
    @Example
    void recoveryReadsOneEntryAtATime() throws IOException {
        MemoryLogDevice device = new MemoryLogDevice();
        writeEntries(open(device), 1, 200);
        DurableState recovered = open(device).recovered();
        long next = 1;
        for (LogEntry entry : recovered.entries()) {
            assertThat(entry.getIndex()).isEqualTo(next++);
        }
        assertThat(next).isEqualTo(201);
        assertThat(device.largestRead()).isLessThan(2 * ENTRY_BYTES);
    }

    // Guards against a process that ends for want of memory when it compacts its log.
    @Example
    void compactionReadsOneEntryAtATime() throws IOException {
        MemoryLogDevice device = new MemoryLogDevice();
        GroupLog log = open(device);
        writeEntries(log, 1, 200);
        log.write(List.of(snapshot(100)));
        assertThat(device.largestRead()).isLessThan(2 * ENTRY_BYTES);
        assertThat(open(device).recovered().entries()).hasSize(100);
    }

    // Guards against the loss of acknowledged entries where the power is lost while the log is being compacted.
    @Example
    void aLossOfPowerAtAnyByteOfACompactionLosesNoSyncedEntry() throws IOException {
        long bytes = 0;
        boolean wasCompacted = false;
        while (!wasCompacted) {
            MemoryLogDevice device = new MemoryLogDevice();
            GroupLog log = open(device);
            writeEntries(log, 1, ENTRIES);
            long before = device.length();
            device.losePowerAfter(bytes);
            try {
                log.write(List.of(snapshot(SNAPSHOT_INDEX)));
                log.sync();
            } catch (MemoryLogDevice.PowerLostException lost) {
                // Expected at most bytes.
            }
            device.restorePower();
            wasCompacted = device.length() < before;
            DurableState recovered = open(device).recovered();
            assertThat(recovered.hardState().getIdentity()).isEqualTo(7);
            assertThat(recovered.entries())
                    .last()
                    .extracting(LogEntry::getIndex)
                    .isEqualTo((long) ENTRIES);
            assertThat(recovered.entries().getFirst().getIndex())
                    .as("power lost after %s bytes", bytes)
                    .isLessThanOrEqualTo(SNAPSHOT_INDEX + 1L);
            bytes += STEP_BYTES;
        }
        assertThat(bytes).isGreaterThan(ENTRY_BYTES);
    }

    // Guards against a process that ends because the disk has room for its log but not for a second one beside it.
    @Example
    void aCompactionWithoutRoomLeavesTheOldLogInUse() throws IOException {
        MemoryLogDevice device = new MemoryLogDevice();
        GroupLog log = open(device);
        writeEntries(log, 1, ENTRIES);
        device.limitReplacement(ENTRY_BYTES);
        log.write(List.of(snapshot(SNAPSHOT_INDEX)));
        writeEntries(log, ENTRIES + 1, 2 * ENTRIES);
        assertThat(open(device).recovered().entries()).hasSize(2 * ENTRIES - SNAPSHOT_INDEX);
        device.limitReplacement(Long.MAX_VALUE);
        long before = log.length();
        log.write(List.of(snapshot(ENTRIES)));
        assertThat(log.length()).isLessThan(before);
        assertThat(open(device).recovered().entries()).hasSize(ENTRIES);
    }

    // Guards against a disk that fills with what a compaction left that a crash cut short.
    @Example
    void whatACompactionLeftThatWasCutShortIsRemovedAtTheNextStart() throws IOException {
        Path file = Files.createTempDirectory("log").resolve("log");
        Path left = file.resolveSibling("log.new");
        Files.write(left, new byte[ENTRY_BYTES]);
        try (GroupLog log = GroupLog.open(FileLogDevice.open(file), file.toString(), 7)) {
            assertThat(left).doesNotExist();
            writeEntries(log, 1, ENTRIES);
            log.write(List.of(snapshot(SNAPSHOT_INDEX)));
            assertThat(left).doesNotExist();
            writeEntries(log, ENTRIES + 1, 2 * ENTRIES);
        }
        try (GroupLog log = GroupLog.open(FileLogDevice.open(file), file.toString(), 8)) {
            assertThat(log.recovered().entries()).hasSize(2 * ENTRIES - SNAPSHOT_INDEX);
        }
    }

    // Guards against an entry that is lost without a word where the disk returns other bytes than were written.
    @Example
    void anEntryThatCantBeReadAgainIsReported() throws IOException {
        Path file = Files.createTempDirectory("log").resolve("log");
        try (GroupLog log = GroupLog.open(FileLogDevice.open(file), file.toString(), 7)) {
            writeEntries(log, 1, ENTRIES);
            byte[] content = Files.readAllBytes(file);
            content[content.length - 1] ^= 0x11;
            Files.write(file, content);
            assertThatThrownBy(() -> log.write(List.of(snapshot(SNAPSHOT_INDEX))))
                    .isInstanceOf(CorruptLogException.class);
        }
    }

    private static GroupLog open(MemoryLogDevice device) throws IOException {
        return GroupLog.open(device, "log", 7);
    }

    private static void writeEntries(GroupLog log, long from, long to) throws IOException {
        for (long index = from; index <= to; index++) {
            LogEntry entry = LogEntry.newBuilder()
                    .setIndex(index)
                    .setTerm(1)
                    .setConfig(ConfigApply.newBuilder().setConfig(ByteString.copyFrom(new byte[ENTRY_BYTES])))
                    .build();
            log.write(List.of(LogRecord.newBuilder().setEntry(entry).build()));
        }
        log.sync();
    }

    private static LogRecord snapshot(long index) {
        return LogRecord.newBuilder()
                .setSnapshot(Snapshot.newBuilder()
                        .setIndex(index)
                        .setTerm(1)
                        .setState(ByteString.copyFrom(new byte[ENTRY_BYTES])))
                .build();
    }
}
