package org.cuminshelf.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.replica.DurableState;

/** The durable log and its recovery after a crash that left part of the unsynced bytes on the disk. */
class GroupLogTest {

    private static final int ENTRIES = 12;

    @Example
    void syncedRecordsAreRecoveredAfterARestart() throws IOException {
        Path file = file();
        long identity;
        try (GroupLog log = open(file, 7)) {
            identity = log.recovered().hardState().getIdentity();
            write(log, 1, ENTRIES);
        }
        try (GroupLog log = open(file, 8)) {
            assertThat(log.recovered().hardState().getIdentity()).isEqualTo(identity);
            assertThat(log.recovered().entries()).hasSize(ENTRIES);
        }
    }

    /*
     * Guards against a replica that doesn't start after a power loss, or starts without an entry that it acknowledged.
     * The last records were written but not synced, and any part of them may be on the disk.
     */
    @Property(tries = 300, seed = "4711")
    void aTornTailIsTruncatedAndNoSyncedRecordIsLost(
            @ForAll @IntRange(min = 0, max = 400) int keptUnsyncedBytes,
            @ForAll @IntRange(min = 0, max = 400) int corruptedByte)
            throws IOException {
        Path file = file();
        try (GroupLog log = open(file, 7)) {
            write(log, 1, ENTRIES);
        }
        long synced = Files.size(file);
        try (GroupLog log = open(file, 7)) {
            for (long index = ENTRIES + 1; index <= 2 * ENTRIES; index++) {
                log.write(List.of(entry(index)));
            }
        }
        byte[] content = Files.readAllBytes(file);
        int length = (int) Math.min(content.length, synced + keptUnsyncedBytes);
        byte[] torn = Arrays.copyOf(content, length);
        if (length > synced) {
            torn[(int) synced + corruptedByte % (int) (length - synced)] ^= 0x11;
        }
        Files.write(file, torn);
        try (GroupLog log = open(file, 8)) {
            List<LogEntry> entries = log.recovered().entries();
            assertThat(entries.size()).isBetween(ENTRIES, 2 * ENTRIES);
            assertThat(entries.subList(0, ENTRIES)).allMatch(entry -> entry.getIndex() <= ENTRIES);
        }
    }

    /*
     * Guards against the election of two leaders after a byte of a synced record was corrupted and the log was
     * truncated there, as if the record hadn't been synced: the replica then lacks a vote or an entry that it
     * acknowledged.
     */
    @Property(tries = 100, seed = "4712")
    void aCorruptRecordBeforeSyncedRecordsIsRejected(@ForAll @IntRange(min = 0, max = 300) int corruptedByte)
            throws IOException {
        Path file = file();
        long firstSyncedLength;
        try (GroupLog log = open(file, 7)) {
            write(log, 1, ENTRIES);
            firstSyncedLength = log.length();
            write(log, ENTRIES + 1, 2 * ENTRIES);
        }
        byte[] content = Files.readAllBytes(file);
        content[(int) (corruptedByte % firstSyncedLength)] ^= 0x11;
        Files.write(file, content);
        assertThatThrownBy(() -> open(file, 8))
                .isInstanceOf(CorruptLogException.class)
                .hasMessageContaining(file.toString())
                .hasMessageContaining("start this replica anew");
    }

    @Example
    void aSnapshotReplacesTheEntriesItCovers() throws IOException {
        Path file = file();
        try (GroupLog log = open(file, 7)) {
            write(log, 1, ENTRIES);
            long before = log.length();
            Snapshot snapshot =
                    Snapshot.newBuilder().setIndex(ENTRIES - 2).setTerm(1).build();
            log.write(List.of(LogRecord.newBuilder().setSnapshot(snapshot).build()));
            log.sync();
            assertThat(log.length()).isLessThan(before);
        }
        try (GroupLog log = open(file, 8)) {
            DurableState state = log.recovered();
            assertThat(state.snapshot()).isPresent();
            assertThat(state.entries()).extracting(LogEntry::getIndex).containsExactly(11L, 12L);
        }
    }

    @Example
    void aSecondProcessOnTheSameFolderIsRefused() throws IOException {
        Path file = file();
        try (GroupLog log = open(file, 7)) {
            assertThat(log.length()).isPositive();
            assertThatThrownBy(() -> open(file, 8)).hasMessageContaining("another process uses this data folder");
        }
    }

    private static Path file() throws IOException {
        return Files.createTempDirectory("log").resolve("log");
    }

    private static GroupLog open(Path file, long identity) throws IOException {
        FileLogDevice device = FileLogDevice.open(file);
        try {
            return GroupLog.open(device, file.toString(), identity);
        } catch (IOException e) {
            device.close();
            throw e;
        }
    }

    private static void write(GroupLog log, long from, long to) throws IOException {
        for (long index = from; index <= to; index++) {
            log.write(List.of(entry(index)));
        }
        log.sync();
    }

    private static LogRecord entry(long index) {
        return LogRecord.newBuilder()
                .setEntry(LogEntry.newBuilder().setIndex(index).setTerm(1).setNone(true))
                .build();
    }
}
