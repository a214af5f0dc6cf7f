package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.storage.FileLogDevice;
import org.cuminshelf.storage.GroupLog;

/** Control processes with a small heap that have accepted hundreds of large configurations. */
class LargeConfigurationsTest {

    private static final int ROUTES = 700;
    private static final int CHANGES = 450;
    /** The version of the configuration with which the processes start. */
    private static final int FIRST_VERSION = 3;
    /** Half of the disk of a control VM. */
    private static final long MAX_DISK_BYTES = 64L << 20;

    private static final long START_MILLIS = 10_000;

    private static final String ROUTE_END = ",\"targetLatencyMs\":200,\"priority\":1,"
            + "\"trafficSplit\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
            + "\"maxAttempts\":2,\"sticky\":false,\"resumable\":false}";

    // Guards against control processes that fill their heap with old configurations, and then can't start again.
    @Example
    void aControlProcessStartsAgainAfterHundredsOfLargeConfigurations() throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 0, config(FIRST_VERSION))) {
            String control = platform.controls().getFirst();
            int last = FIRST_VERSION + CHANGES;
            for (int version = FIRST_VERSION + 1; version <= last; version++) {
                assertThat(platform.configure(control, config(version))).isTrue();
                assertThat(Files.size(platform.logFile(control))).isLessThan(MAX_DISK_BYTES);
            }
            platform.kill(List.of(control));
            platform.start(control);
            assertThat(awaitConfiguration(platform, control)).contains("\"version\":" + last + ",");
            assertThat(platform.isSound(control)).isTrue();
        }
    }

    // Guards against an upgrade that can't start with the log that an earlier release has filled.
    @Example
    void aControlProcessStartsWithTheLargeLogOfAnEarlierRelease() throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 0, config(FIRST_VERSION))) {
            String control = platform.controls().getFirst();
            platform.stop(control);
            long size = appendAsAnEarlierReleaseDid(platform.logFile(control));
            assertThat(size).isGreaterThan(MAX_DISK_BYTES);
            platform.start(control);
            int last = FIRST_VERSION + CHANGES;
            assertThat(awaitConfiguration(platform, control)).contains("\"version\":" + last + ",");
            assertThat(platform.isSound(control)).isTrue();
            assertThat(Files.size(platform.logFile(control))).isLessThan(MAX_DISK_BYTES);
        }
    }

    /** Appends committed configurations, without a snapshot between them, and returns the size of the log in bytes. */
    private static long appendAsAnEarlierReleaseDid(Path file) throws IOException {
        try (GroupLog log = GroupLog.open(FileLogDevice.open(file), file.toString(), 1)) {
            DurableState state = log.recovered();
            LogEntry newest = state.entries().getLast();
            for (int change = 1; change <= CHANGES; change++) {
                int version = FIRST_VERSION + change;
                LogEntry entry = LogEntry.newBuilder()
                        .setIndex(newest.getIndex() + change)
                        .setTerm(newest.getTerm())
                        .setClockMs(newest.getClockMs())
                        .setConfig(ConfigApply.newBuilder()
                                .setDeclaredVersion(version)
                                .setConfig(ByteString.copyFromUtf8(config(version)))
                                .setHash("hash-" + version))
                        .build();
                HardState committed = state.hardState().toBuilder()
                        .setCommit(entry.getIndex())
                        .build();
                log.write(List.of(
                        LogRecord.newBuilder().setEntry(entry).build(),
                        LogRecord.newBuilder().setHardState(committed).build()));
                log.sync();
            }
            return log.length();
        }
    }

    private static String awaitConfiguration(PlatformProcesses platform, String control) throws InterruptedException {
        long deadline = System.nanoTime() + START_MILLIS * 1_000_000;
        Optional<String> read = Optional.empty();
        while (read.isEmpty() && System.nanoTime() < deadline) {
            Thread.sleep(20);
            read = platform.configuration(control);
        }
        return read.orElse("");
    }

    private static String config(int version) {
        StringBuilder config = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            config.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(i)
                    .append("\",\"host\":\"h.example\",\"pathPrefix\":\"/p")
                    .append(i)
                    .append("/\",\"routeKind\":\"idempotent\",\"timeoutMs\":")
                    .append(i == 0 ? 6_000 + version : 6_000)
                    .append(ROUTE_END);
        }
        return config.append("],\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"limits\":{}}")
                .toString();
    }
}
