package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Durations;
import org.cuminshelf.direct.RetryLimits;

/**
 * Streams before engines of two software versions with few slots. Callers leave after two events, as does an entry with
 * all of its own, and resume at other entries while an engine of their version is gone.
 */
final class ScarceRoomDay {

    /**
     * How a day goes.
     *
     * @param load            new streams, as a multiple of those that the engines left after a loss have room for
     * @param slots           slots of each engine
     * @param newEngines      engines of the new version at the start
     * @param release         whether the engines of the old version are exchanged one after the other
     * @param heedsRetryAfter whether callers that are refused come back at the stated time, if that is later
     */
    record Plan(double load, int slots, int newEngines, boolean release, boolean heedsRetryAfter) {}

    static final String OLD = "v1.1";
    static final String NEW = "v1.2";
    private static final int ENTRIES = 4;
    private static final int ENGINES = 6;
    private static final int MAX_QUEUED = 2;
    private static final int ATTEMPTS = 3;
    private static final RetryLimits MANY_RETRIES = new RetryLimits(1, 10_000, 10_000);
    private static final long SECOND = Durations.nanos(1_000);
    /** Usual time of a stream in its slot. */
    private static final double STREAM_SECONDS = 0.7;

    private static final long TRAFFIC_FROM = 8 * SECOND;
    private static final long FIRST_ROUND = 10 * SECOND;
    private static final long ROUND = 6 * SECOND;
    private static final int ROUNDS = 4;
    private static final long TRAFFIC_UNTIL = FIRST_ROUND + ROUNDS * ROUND;
    private static final long END = TRAFFIC_UNTIL + 10 * SECOND;
    /** Time at the start of a round in which callers leave the streams that they begin. */
    private static final long LEAVING = Durations.nanos(1_200);
    /** Time from the start of a round to its losses, after which those callers come back; others fill the room. */
    private static final long LOSS_AFTER = 2 * SECOND;

    private static final long EXCHANGE_EVERY = 4 * SECOND;
    private static final int EVENTS_BEFORE_LEAVING = 2;
    private static final int MAX_TRIES = 3;
    private static final long TRY_EVERY_MILLIS = 400;
    private static final int FEWEST_ENGINES = 2;
    private static final long PATIENCE = 2 * SECOND;
    private static final long LOOK_EVERY = Durations.nanos(10);
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\d+)( last)?\n\n");

    final DirectFleet fleet;
    final List<Stream> streams = new ArrayList<>();
    private final Plan plan;
    private final UniformRandomProvider schedule;
    private final double newPerSecond;
    private boolean leaving;
    private long lossAt;
    private int tries;

    ScarceRoomDay(long seed, Plan plan) {
        this.plan = plan;
        fleet = new DirectFleet(seed, new DirectFleet.Shape(ENTRIES, ENGINES, 1, ATTEMPTS, MANY_RETRIES));
        schedule = RandomSource.XO_RO_SHI_RO_128_PP.create(~seed);
        newPerSecond = plan.load * (ENGINES - 1) * plan.slots / STREAM_SECONDS;
        for (int index = 0; index < ENGINES; index++) {
            CrashingEngine engine = fleet.engines.get(index);
            engine.mixed();
            engine.limitSlots(plan.slots, MAX_QUEUED);
            engine.useVersion(index < plan.newEngines ? NEW : OLD);
        }
        fleet.time.at(TRAFFIC_FROM, this::begin);
        for (int round = 0; round < ROUNDS; round++) {
            long at = FIRST_ROUND + round * ROUND;
            fleet.time.at(at, () -> {
                leaving = true;
                lossAt = at + LOSS_AFTER;
            });
            fleet.time.at(at + LEAVING, () -> leaving = false);
            fleet.time.at(at + LOSS_AFTER, this::lose);
        }
        for (int index = plan.newEngines; plan.release && index < ENGINES; index++) {
            CrashingEngine engine = fleet.engines.get(index);
            fleet.time.at(FIRST_ROUND + (index - plan.newEngines) * EXCHANGE_EVERY, () -> exchange(engine));
        }
    }

    ScarceRoomDay run() {
        fleet.time.runUntil(END);
        return this;
    }

    private void begin() {
        if (fleet.time.now() >= TRAFFIC_UNTIL) {
            return;
        }
        streams.add(new Stream());
        double gapSeconds = -Math.log(1 - schedule.nextDouble()) / newPerSecond;
        fleet.time.after((long) (gapSeconds * SECOND), this::begin);
    }

    /** Ends an engine of the old version, unless a release does, and an entry. */
    private void lose() {
        if (!plan.release) {
            fleet.engines.stream()
                    .filter(engine -> engine.isUp() && engine.version().equals(OLD))
                    .findFirst()
                    .ifPresent(CrashingEngine::crash);
        }
        VirtualNode entry = fleet.entries.get(schedule.nextInt(ENTRIES));
        fleet.restartEntry(entry, 500 + schedule.nextLong(1_500));
    }

    private VirtualNode livingEntry(Optional<VirtualNode> except) {
        List<VirtualNode> living = fleet.entries.stream()
                .filter(entry -> entry.isAlive() && except.filter(entry::equals).isEmpty())
                .toList();
        return living.get(schedule.nextInt(living.size()));
    }

    private static void exchange(CrashingEngine engine) {
        engine.useVersion(NEW);
        engine.crash();
    }

    /** A stream that a caller wants, over all of its tries. */
    final class Stream {
        private final List<DirectFleet.Call> calls = new ArrayList<>();
        private String began = "";
        private long lastEvent;
        private boolean whole;
        private int triesLeft;
        private boolean resumed;
        private boolean goesOn;
        /** Whether enough engines of its version served at each of its tries. */
        private boolean served = true;

        private Stream() {
            follow(fleet.ask(livingEntry(Optional.empty()), DirectFleet.RESUMABLE, "", this::onOver));
            if (leaving) {
                leaveAfterEvents(calls.getFirst());
            }
        }

        private void follow(DirectFleet.Call call) {
            calls.add(call);
            call.leaveAfter(PATIENCE);
        }

        private void leaveAfterEvents(DirectFleet.Call call) {
            if (call.over) {
                return;
            }
            if (EVENT.matcher(call.body).results().count() >= EVENTS_BEFORE_LEAVING) {
                call.leave();
                return;
            }
            fleet.time.after(LOOK_EVERY, () -> leaveAfterEvents(call));
        }

        private void onOver(DirectFleet.Call call) {
            boolean begun = readEvents(call);
            goesOn |= resumed && begun;
            if (whole || began.isEmpty()) {
                return;
            }
            if (!resumed || begun) {
                // It was cut, here or where it went on: its caller resumes it, in as many tries.
                resumed = true;
                triesLeft = MAX_TRIES;
                long back = Math.max(fleet.time.now(), lossAt) + Durations.nanos(20 + schedule.nextLong(100));
                fleet.time.at(back, () -> resume(call.entry));
            } else if (triesLeft > 0) {
                fleet.time.after(Durations.nanos(waitMillis(call)), () -> resume(call.entry));
            }
        }

        private boolean readEvents(DirectFleet.Call call) {
            boolean begun = false;
            Matcher events = EVENT.matcher(call.status == 200 ? call.body : "");
            while (events.find()) {
                begun = true;
                began = began.isEmpty() ? call.id : began;
                lastEvent = Long.parseLong(events.group(1));
                whole |= events.group(3) != null;
            }
            return begun;
        }

        private long waitMillis(DirectFleet.Call call) {
            String stated = call.headers.get("Retry-After");
            return plan.heedsRetryAfter && stated != null
                    ? Math.max(TRY_EVERY_MILLIS, (long) (1_000 * Double.parseDouble(stated)))
                    : TRY_EVERY_MILLIS;
        }

        private void resume(VirtualNode last) {
            VirtualNode entry = livingEntry(Optional.of(last));
            triesLeft--;
            tries++;
            served &= enginesOf(versions()) >= FEWEST_ENGINES;
            follow(fleet.resume(entry, DirectFleet.RESUMABLE, began, lastEvent, this::onOver));
        }

        /** The software versions whose events it holds. */
        Set<String> versions() {
            Set<String> versions = new TreeSet<>();
            for (DirectFleet.Call call : calls) {
                Matcher events = EVENT.matcher(call.status == 200 ? call.body : "");
                while (events.find()) {
                    int run = Integer.parseInt(events.group(2));
                    fleet.records.runsOf(call.id).stream()
                            .filter(record -> record.number == run)
                            .forEach(record -> versions.add(record.version));
                }
            }
            return versions;
        }
    }

    private long enginesOf(Set<String> versions) {
        return fleet.engines.stream()
                .filter(engine -> engine.isUp() && versions.contains(engine.version()))
                .count();
    }

    // ---- what came of it

    List<Stream> mixed() {
        return streams.stream().filter(stream -> stream.versions().size() > 1).toList();
    }

    /** Streams of the old version that were resumed while enough engines of it served. */
    List<Stream> resumed() {
        return streams.stream()
                .filter(stream -> stream.resumed && stream.served && stream.calls.size() > 1)
                .filter(stream -> stream.versions().contains(OLD))
                .toList();
    }

    double shareGoingOn() {
        List<Stream> resumed = resumed();
        return (double) resumed.stream().filter(stream -> stream.goesOn).count() / Math.max(1, resumed.size());
    }

    double shareBegun() {
        return (double) streams.stream()
                        .filter(stream -> !stream.began.isEmpty())
                        .count()
                / streams.size();
    }

    String summary() {
        return "new %d, begun %.3f, resumed %d, going on %.3f, tries of all %d, mixed %d"
                .formatted(streams.size(), shareBegun(), resumed().size(), shareGoingOn(), tries, mixed().size());
    }
}
