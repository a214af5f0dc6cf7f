package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/**
 * Guards against streams of two versions, and against refusing those that could go on, while real processes are killed,
 * stopped and frozen in overlapping series.
 */
class RestartsSoakTest {

    /** Seeds in CI; 50 by hand with -Drestarts.seeds=50 -Drestarts.seconds=15. */
    private static final int SEEDS = Integer.getInteger("restarts.seeds", 1);

    private static final int FIRST_SEED = Integer.getInteger("restarts.first", 1);
    private static final int SECONDS = Integer.getInteger("restarts.seconds", 6);
    private static final int CALLERS = 12;
    private static final int MAX_EVENTS = 40;
    private static final int MIN_PAUSE_MILLIS = 200;
    private static final int MAX_PAUSE_MILLIS = 1_500;

    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger goingOn = new AtomicInteger();
    private final AtomicInteger beginning = new AtomicInteger();
    private final Queue<CallerStream> mixed = new ConcurrentLinkedQueue<>();
    private final Queue<CallerStream> refused = new ConcurrentLinkedQueue<>();
    private final Queue<String> disturbances = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean controlDisturbed = new AtomicBoolean();
    private final Set<String> disturbed = ConcurrentHashMap.newKeySet();

    @Example
    void streamsGoOnAtTheirVersionWhileProcessesAreKilledStoppedAndFrozen() throws Exception {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            try (PlatformProcesses platform = new PlatformProcesses(3, 4, RestartedEntriesTest.CONFIG);
                    ScriptedUpstreams _ = new ScriptedUpstreams(platform, RestartedEntriesTest.TWO_VERSIONS)) {
                play(platform, new Random(seed));
                System.out.println("restarts, seed " + seed + ", total: going on " + goingOn + " of " + resumed
                        + ", new ones " + beginning + ", mixed " + mixed + "; this seed: " + platform.outcomes()
                        + (refused.isEmpty() ? "" : ", refused " + refused + ", disturbed " + disturbances));
            }
            assertThat(mixed).as("mixed streams, seed %d", seed).isEmpty();
            refused.clear();
            disturbances.clear();
        }
        assertThat(resumed).hasPositiveValue();
        assertThat(goingOn.doubleValue()).isGreaterThanOrEqualTo(RestartedEntriesTest.MIN_SHARE * beginning.get());
    }

    private void play(PlatformProcesses platform, Random random) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<?>> results = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                Random own = new Random(random.nextLong());
                results.add(threads.submit(() -> callUntil(endNanos, platform, own)));
            }
            while (System.nanoTime() < endNanos) {
                Thread.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
                results.add(threads.submit(disturbance(platform, random)));
            }
            for (Future<?> result : results) {
                result.get();
            }
        }
    }

    // ---- disturbances

    private Callable<Boolean> disturbance(PlatformProcesses platform, Random random) {
        List<String> entries = platform.entries();
        String entry = entries.get(random.nextInt(entries.size()));
        String control =
                platform.controls().get(random.nextInt(platform.controls().size()));
        long millis = random.nextLong(100, MAX_PAUSE_MILLIS);
        return switch (random.nextInt(6)) {
            case 0 -> () -> disturb(entries, free -> restart(platform, free));
            case 1 -> () -> disturb(List.of(entry), free -> restart(platform, free));
            case 2 -> () -> restartWithControl(platform, control, List.of(entry));
            case 3 -> () -> restartWithControl(platform, control, entries);
            case 4 ->
                () -> disturb(List.of(entry), free -> {
                    for (String name : free) {
                        platform.stop(name);
                    }
                    platform.start(free);
                });
            default ->
                () -> disturb(List.of(entry), free -> {
                    for (String name : free) {
                        platform.freeze(name, millis);
                    }
                    Thread.sleep(millis);
                });
        };
    }

    /** What happens to some processes at once. */
    private interface Disturbance {

        void run(List<String> names) throws IOException, InterruptedException;
    }

    /** Disturbs those of the processes that nothing else disturbs. */
    private boolean disturb(List<String> names, Disturbance disturbance) throws IOException, InterruptedException {
        List<String> free = names.stream().filter(disturbed::add).toList();
        disturbances.add(LocalTime.now() + " " + free);
        disturbance.run(free);
        return free.stream().allMatch(disturbed::remove);
    }

    /**
     * Restarts a control process and entries at once, unless another control process is not back or the records are not
     * refilled: a loss of entries and of both control processes that keep a record loses it.
     */
    private boolean restartWithControl(PlatformProcesses platform, String control, List<String> names)
            throws IOException, InterruptedException {
        if (!controlDisturbed.compareAndSet(false, true)) {
            return false;
        }
        List<String> all = new ArrayList<>(names);
        all.add(control);
        disturb(all, free -> restart(platform, free));
        platform.awaitControl(control);
        platform.awaitEntries();
        Thread.sleep(RestartedEntriesTest.REFILL_MILLIS);
        return controlDisturbed.compareAndSet(true, false);
    }

    private static void restart(PlatformProcesses platform, List<String> names) throws IOException {
        platform.kill(names);
        platform.start(names);
    }

    // ---- callers

    private Boolean callUntil(long endNanos, PlatformProcesses platform, Random random) throws Exception {
        while (System.nanoTime() < endNanos) {
            CallerStream stream = new CallerStream(platform);
            int events = random.nextInt(2, MAX_EVENTS);
            List<String> entries = shuffled(platform, random);
            if (!RestartedEntriesTest.readWithRetries(platform, stream, entries, events)) {
                continue;
            }
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            resume(platform, stream, shuffled(platform, random));
        }
        return true;
    }

    /** Resumes a stream, and begins a new one at the same entries for comparison. */
    private void resume(PlatformProcesses platform, CallerStream stream, List<String> entries) throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<Boolean> other = threads.submit(
                    () -> RestartedEntriesTest.readWithRetries(platform, new CallerStream(platform), entries, 1));
            boolean goesOn = RestartedEntriesTest.readWithRetries(platform, stream, entries, 2);
            resumed.incrementAndGet();
            goingOn.addAndGet(goesOn ? 1 : 0);
            beginning.addAndGet(other.get() ? 1 : 0);
            if (!goesOn) {
                refused.add(stream);
            }
            if (stream.isMixed()) {
                mixed.add(stream);
            }
        }
    }

    private static List<String> shuffled(PlatformProcesses platform, Random random) {
        List<String> entries = new ArrayList<>(platform.entries());
        Collections.shuffle(entries, random);
        return entries;
    }
}
