package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;

/** Guards against streams that are refused as their callers resume them after restarts, with real processes. */
class RestartedEntriesTest {

    static final String CONFIG = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
            + "\"routeKind\":\"stream\",\"timeoutMs\":8000,\"service\":\"s\",\"maxAttempts\":3,"
            + "\"resumable\":true}],\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    static final List<String> TWO_VERSIONS = List.of("v1.1", "v1.2", "v1.1", "v1.2", "v1.1", "v1.2");
    private static final List<String> ONE_VERSION = List.of("v1.1", "v1.1", "v1.1");
    private static final int STREAMS = 24;
    private static final int EVENTS = 2;
    private static final int TRIES = 3;
    private static final long BETWEEN_TRIES_MILLIS = 400;
    /** Share of resumed streams that go on, against that of new streams that begin. */
    static final double MIN_SHARE = 0.5;
    /** Within this time of its return a process holds the records again that others sent it. */
    static final long REFILL_MILLIS = 1_000;

    private static final long FREEZE_MILLIS = 1_000;
    /** Longer than three tries together of which each waits 150 ms for records. */
    private static final long LONG_FREEZE_MILLIS = 2_000;

    /** What happens between the begin of the streams and their resumption; returns the entries that resume them. */
    private interface Restarts {

        List<String> run(PlatformProcesses platform) throws Exception;
    }

    @Example
    void streamsGoOnAfterAllEntriesWereKilledAtOnceAndStartedAgain() throws Exception {
        assertStreamsGoOn(1, 3, TWO_VERSIONS, platform -> {
            platform.kill(platform.entries());
            platform.start(platform.entries());
            return platform.entries();
        });
    }

    @Example
    void streamsGoOnAfterEntriesWereStoppedAndStartedOneAfterTheOther() throws Exception {
        assertStreamsGoOn(1, 3, TWO_VERSIONS, platform -> {
            for (String entry : platform.entries()) {
                platform.stop(entry);
                platform.start(entry);
                platform.awaitEntry(entry);
            }
            return platform.entries();
        });
    }

    @Example
    void streamsOfTheOnlyVersionGoOnAfterControlAndThenAllEntriesWereKilledAndStartedAgain() throws Exception {
        assertStreamsGoOn(1, 3, ONE_VERSION, platform -> {
            platform.kill(platform.controls());
            platform.start(platform.controls());
            platform.awaitHeardByEntries(platform.controls().getFirst());
            Thread.sleep(REFILL_MILLIS);
            platform.kill(platform.entries());
            platform.start(platform.entries());
            return platform.entries();
        });
    }

    @Example
    void streamsOfAKilledEntryGoOnElsewhereWhileAnotherHolderOfTheirRecordsIsFrozen() throws Exception {
        assertStreamsGoOn(1, 5, TWO_VERSIONS, platform -> {
            platform.kill(platform.entries().subList(0, 1));
            platform.start(platform.entries().getFirst());
            platform.awaitEntries();
            platform.freeze(platform.entries().getLast(), FREEZE_MILLIS);
            return platform.entries();
        });
    }

    /** Guards against a wait for records that ends long before the caller's time does. */
    @Example
    void streamsGoOnAtARestartedEntryWhileAllOtherHoldersOfTheirRecordsAreFrozen() throws Exception {
        assertStreamsGoOn(1, 3, TWO_VERSIONS, platform -> {
            String restarted = platform.entries().getFirst();
            platform.kill(List.of(restarted));
            platform.start(restarted);
            platform.awaitEntry(restarted);
            for (String other : platform.entries().subList(1, 3)) {
                platform.freeze(other, LONG_FREEZE_MILLIS);
            }
            return List.of(restarted);
        });
    }

    @Example
    void streamsGoOnAfterOneOfThreeControlProcessesAndAllEntriesWereKilledAtOnce() throws Exception {
        assertStreamsGoOn(3, 3, TWO_VERSIONS, platform -> {
            List<String> killed = new ArrayList<>(platform.entries());
            killed.add(platform.controls().getFirst());
            platform.kill(killed);
            platform.start(platform.entries());
            return platform.entries();
        });
    }

    /** Begins streams at all entries, which callers leave, and resumes them at others beside as many new streams. */
    private static void assertStreamsGoOn(int controls, int entries, List<String> versions, Restarts restarts)
            throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(controls, entries, CONFIG);
                ScriptedUpstreams _ = new ScriptedUpstreams(platform, versions);
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<CallerStream> streams = new ArrayList<>();
            while (streams.size() < STREAMS) {
                CallerStream stream = new CallerStream(platform);
                String entry = platform.entries().get(streams.size() % entries);
                assertThat(readWithRetries(platform, stream, List.of(entry), EVENTS))
                        .as("begins at %s", entry)
                        .isTrue();
                streams.add(stream);
            }
            assertThat(streams).extracting(CallerStream::version).containsAll(versions);
            List<String> resuming = restarts.run(platform);
            List<Future<Boolean>> resumed = new ArrayList<>();
            List<Future<Boolean>> begun = new ArrayList<>();
            for (int index = 0; index < STREAMS; index++) {
                CallerStream stream = streams.get(index);
                List<String> others = new ArrayList<>(resuming);
                if (others.size() > 1) {
                    others.remove(index % entries);
                }
                resumed.add(callers.submit(() -> readWithRetries(platform, stream, others, EVENTS)));
                begun.add(callers.submit(() -> readWithRetries(platform, new CallerStream(platform), others, EVENTS)));
            }
            long goingOn = count(resumed);
            long beginning = count(begun);
            String summary =
                    "going on " + goingOn + ", beginning " + beginning + " of " + STREAMS + ", " + platform.outcomes();
            System.out.println(summary);
            assertThat(streams).as("mixed streams").noneMatch(CallerStream::isMixed);
            assertThat(beginning).as(summary).isPositive();
            assertThat((double) goingOn).as(summary).isGreaterThanOrEqualTo(MIN_SHARE * beginning);
        }
    }

    /** Begins or resumes a stream at one entry after the other as soon as the first is ready. */
    static boolean readWithRetries(PlatformProcesses platform, CallerStream stream, List<String> entries, int events)
            throws InterruptedException {
        platform.awaitEntry(entries.getFirst());
        for (int attempt = 0; attempt < TRIES; attempt++) {
            if (stream.read(entries.get(attempt % entries.size()), events)) {
                return true;
            }
            Thread.sleep(BETWEEN_TRIES_MILLIS);
        }
        return false;
    }

    private static long count(List<Future<Boolean>> results) throws Exception {
        long count = 0;
        for (Future<Boolean> result : results) {
            count += result.get() ? 1 : 0;
        }
        return count;
    }
}
