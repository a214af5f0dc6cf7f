package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.direct.DirectCore;
import org.cuminshelf.direct.RetryLimits;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stop;

/** Streams before engines of two software versions, whose callers take them up again elsewhere, from one seed. */
final class VersionDay {

    /** Something that happens again and again. */
    interface Disturbance {
        void happen(VersionDay day);
    }

    static final String OLD = "v1.1";
    static final String NEW = "v1.2";
    private static final int ENTRIES = 5;
    private static final int ENGINES = 6;
    private static final int ATTEMPTS = 3;
    private static final RetryLimits MANY_RETRIES = new RetryLimits(1, 10_000, 10_000);
    private static final long SECOND = Durations.nanos(1_000);
    private static final long TRAFFIC_FROM = 8 * SECOND;
    private static final long DISTURBED_FROM = 10 * SECOND;
    private static final long DISTURBED_UNTIL = 30 * SECOND;
    private static final long TRAFFIC_UNTIL = 32 * SECOND;
    private static final long END = 42 * SECOND;
    private static final long STREAM_EVERY = SECOND / 40;
    private static final int MAX_TRIES = 4;
    private static final long STOP_GRACE = 3 * SECOND;
    private static final long STOP_POLL = SECOND / 50;
    private static final int FEWEST_ENGINES = 2;
    private static final long PATIENCE = 2 * SECOND;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\d+)( last)?\n\n");

    final long seed;
    final DirectFleet fleet;
    final List<Stream> streams = new ArrayList<>();
    final UniformRandomProvider schedule;
    final ProcessHealth health;
    final ResumptionTally tally = new ResumptionTally();
    private final Set<VirtualNode> stopping = new HashSet<>();
    private int leavePercent;
    private long shortestReturnMillis = 20;
    private int returnSpreadMillis = 300;
    private long shortestAbsenceMillis;
    private int absenceSpreadMillis;
    private boolean honoursRetryAfter;
    private int maxTries = MAX_TRIES;
    private int takenUp;
    private int wentOn;
    /** Of the streams taken up, those of a version that two engines serve, and those of them that went on. */
    private int resumptions;

    private int resumptionsBegun;

    VersionDay(long seed, int newEngines) {
        this(seed, newEngines, ENTRIES);
    }

    VersionDay(long seed, int newEngines, int entries) {
        this.seed = seed;
        fleet = new DirectFleet(seed, new DirectFleet.Shape(entries, ENGINES, 1, ATTEMPTS, MANY_RETRIES));
        health = new ProcessHealth(fleet);
        schedule = RandomSource.XO_RO_SHI_RO_128_PP.create(~seed);
        for (int index = 0; index < ENGINES; index++) {
            fleet.engines.get(index).mixed();
            fleet.engines.get(index).useVersion(index < newEngines ? NEW : OLD);
        }
        fleet.time.at(TRAFFIC_FROM, this::begin);
    }

    private void begin() {
        if (fleet.time.now() < TRAFFIC_UNTIL) {
            streams.add(new Stream());
            fleet.time.after(STREAM_EVERY, this::begin);
        }
    }

    /** Lets callers leave so many of a hundred streams after some events, to take them up at another entry. */
    VersionDay letCallersLeave(int percent) {
        leavePercent = percent;
        return this;
    }

    /** Lets callers leave streams too, and wait so long before each further try. */
    VersionDay letCallersReturn(int percentLeaving, long shortestMillis, int spreadMillis) {
        shortestReturnMillis = shortestMillis;
        returnSpreadMillis = spreadMillis;
        return letCallersLeave(percentLeaving);
    }

    /** Lets callers come back for the first time after so long only. */
    VersionDay letCallersStayAway(long shortestMillis, int spreadMillis) {
        shortestAbsenceMillis = shortestMillis;
        absenceSpreadMillis = spreadMillis;
        return this;
    }

    /** Lets callers wait for as long as a refusal asks them to. */
    VersionDay letCallersHonourRetryAfter() {
        honoursRetryAfter = true;
        return this;
    }

    /** Lets callers resume a stream once only. */
    VersionDay letCallersTryOnce() {
        maxTries = 2;
        return this;
    }

    VersionDay once(Disturbance disturbance) {
        fleet.time.at(DISTURBED_FROM, () -> disturbance.happen(this));
        return this;
    }

    boolean isDisturbed() {
        return fleet.time.now() < DISTURBED_UNTIL;
    }

    long disturbedForNanos() {
        return DISTURBED_UNTIL - fleet.time.now();
    }

    VersionDay again(long shortestGapMillis, long longestGapMillis, Disturbance disturbance) {
        fleet.time.at(DISTURBED_FROM, () -> repeat(shortestGapMillis, longestGapMillis, disturbance));
        return this;
    }

    private void repeat(long shortestGapMillis, long longestGapMillis, Disturbance disturbance) {
        if (fleet.time.now() >= DISTURBED_UNTIL) {
            return;
        }
        disturbance.happen(this);
        long gap = shortestGapMillis + schedule.nextLong(longestGapMillis - shortestGapMillis + 1);
        fleet.time.after(Durations.nanos(gap), () -> repeat(shortestGapMillis, longestGapMillis, disturbance));
    }

    VersionDay run() {
        fleet.time.runUntil(END);
        return this;
    }

    // ---- what may happen

    void crashEngine() {
        List<CrashingEngine> up =
                fleet.engines.stream().filter(CrashingEngine::isUp).toList();
        if (up.size() > 3) {
            up.get(schedule.nextInt(up.size())).crash();
        }
    }

    void resetConnections() {
        fleet.engines.get(schedule.nextInt(ENGINES)).resetConnections();
    }

    /** An engine crashes and comes back under another version. */
    void exchangeEngine() {
        exchangeEngine(fleet.engines.get(schedule.nextInt(ENGINES)));
    }

    void exchangeEngine(CrashingEngine engine) {
        if (engine.isUp()) {
            engine.useVersion(engine.version().equals(OLD) ? NEW : OLD);
            engine.crash();
        }
    }

    void killEntry() {
        VirtualNode entry = fleet.entries.get(schedule.nextInt(fleet.entries.size()));
        if (entry.isAlive()) {
            restartEntry(entry, 500 + schedule.nextLong(1_500));
        }
    }

    void restartEntry(VirtualNode entry, long downMillis) {
        health.harm(entry, Durations.nanos(downMillis));
        fleet.restartEntry(entry, downMillis);
    }

    /** Stops an entry as a restart by the platform does: it gets no new requests, and may end those that it has. */
    void stopEntry(VirtualNode entry, long downMillis, Runnable whenBack) {
        stopping.add(entry);
        health.harm(entry, STOP_GRACE);
        entry.deliver(Envelope.newBuilder()
                .setFrom(Address.PROCESS.value())
                .setStop(Stop.getDefaultInstance())
                .build());
        awaitStopped(entry, fleet.time.now() + STOP_GRACE, downMillis, whenBack);
    }

    private void awaitStopped(VirtualNode entry, long until, long downMillis, Runnable whenBack) {
        Optional<DirectCore> core = entry.core(DirectCore.class);
        boolean busy = core.filter(running -> running.openCalls() > 0).isPresent();
        if (busy && fleet.time.now() < until) {
            fleet.time.after(STOP_POLL, () -> awaitStopped(entry, until, downMillis, whenBack));
            return;
        }
        core.ifPresent(DirectCore::endOpenCalls);
        fleet.time.after(STOP_POLL, () -> {
            restartEntry(entry, downMillis);
            stopping.remove(entry);
            fleet.time.after(Durations.nanos(downMillis), whenBack);
        });
    }

    /** Cuts an entry off from control and from all other entries, for a while. */
    void cutOffEntry() {
        VirtualNode entry = fleet.entries.get(schedule.nextInt(fleet.entries.size()));
        fleet.all().stream().filter(node -> node != entry).forEach(node -> {
            fleet.network.cut(entry.address(), node.address());
            fleet.network.cut(node.address(), entry.address());
        });
        fleet.time.after(Durations.nanos(500 + schedule.nextLong(2_000)), fleet.network::heal);
    }

    // ---- what came of it

    /** A stream that a caller wants, over all of its tries. */
    final class Stream {
        final List<DirectFleet.Call> tries = new ArrayList<>();
        private String began = "";
        private long lastEvent;
        private boolean whole;
        /** Whether engines of its version served when it was last taken up. */
        private boolean served;

        private ResumptionTally.Try asked;
        private final ResumptionTally.Series series = tally.newSeries();

        private Stream() {
            VirtualNode entry = fleet.anyEntry();
            while (stopping.contains(entry)) {
                entry = fleet.anyEntry();
            }
            start(entry);
        }

        private void start(VirtualNode entry) {
            asked = look(entry);
            DirectFleet.Call call = fleet.ask(entry, DirectFleet.RESUMABLE, "", this::onOver);
            follow(call);
        }

        private ResumptionTally.Try look(VirtualNode entry) {
            boolean serves = began.isEmpty() || enginesOf(versions()) >= FEWEST_ENGINES;
            boolean lost = !began.isEmpty() && health.isHarmedSince(tries.getFirst().entry, tries.getFirst().askedAt);
            return new ResumptionTally.Try(entry.isAlive() && serves, health.isInTouch(entry), lost);
        }

        private void follow(DirectFleet.Call call) {
            tries.add(call);
            call.leaveAfter(PATIENCE);
            if (schedule.nextInt(100) < leavePercent) {
                fleet.time.after(Durations.nanos(150 + schedule.nextLong(400)), () -> {
                    if (!call.body.isEmpty()) {
                        call.leave();
                    }
                });
            }
        }

        private void onOver(DirectFleet.Call call) {
            boolean resumes = !began.isEmpty();
            boolean begun = false;
            Matcher events = EVENT.matcher(call.status == 200 ? call.body : "");
            while (events.find()) {
                begun = true;
                began = began.isEmpty() ? call.id : began;
                lastEvent = Long.parseLong(events.group(1));
                whole |= events.group(3) != null;
            }
            takenUp += resumes ? 1 : 0;
            wentOn += resumes && begun ? 1 : 0;
            // A stream can go on only while engines of its version serve.
            resumptions += resumes && served ? 1 : 0;
            resumptionsBegun += resumes && served && begun ? 1 : 0;
            fleet.resumptionOutcomes.trace(
                    "try",
                    call.id,
                    "stream",
                    tries.getFirst().id,
                    "entry",
                    call.entry.address().value(),
                    "asked-ms",
                    Durations.millis(call.askedAt),
                    "heard-ms",
                    Durations.millis(call.heardAt),
                    "status",
                    call.status,
                    "begun",
                    begun,
                    "left",
                    call.left,
                    "whole",
                    whole);
            boolean returns = !whole && !began.isEmpty() && tries.size() < maxTries;
            if (!resumes) {
                tally.countNew(asked, look(call.entry), begun);
            } else {
                series.add(asked, look(call.entry), begun, !returns);
            }
            if (returns) {
                long wait = shortestReturnMillis + schedule.nextLong(returnSpreadMillis);
                if (!resumes && absenceSpreadMillis > 0) {
                    wait = shortestAbsenceMillis + schedule.nextLong(absenceSpreadMillis);
                }
                wait = Math.max(wait, honoursRetryAfter ? retryAfterMillis(call) : 0);
                fleet.time.after(Durations.nanos(wait), () -> takeUp(call.entry));
            }
        }

        private static long retryAfterMillis(DirectFleet.Call call) {
            String seconds = call.headers.get("Retry-After");
            return seconds == null ? 0 : Math.round(Double.parseDouble(seconds) * 1_000);
        }

        private void takeUp(VirtualNode last) {
            List<VirtualNode> others = fleet.entries.stream()
                    .filter(entry -> entry != last && entry.isAlive() && !stopping.contains(entry))
                    .toList();
            if (others.isEmpty()) {
                others = fleet.entries;
            }
            VirtualNode entry = others.get(schedule.nextInt(others.size()));
            served = enginesOf(versions()) >= FEWEST_ENGINES;
            asked = look(entry);
            follow(fleet.resume(entry, DirectFleet.RESUMABLE, began, lastEvent, this::onOver));
        }

        /** The software versions whose events it holds. */
        Set<String> versions() {
            Set<String> versions = new TreeSet<>();
            for (DirectFleet.Call call : tries) {
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

    List<Stream> mixed() {
        return streams.stream().filter(stream -> stream.versions().size() > 1).toList();
    }

    /**
     * The share of the streams taken up again, while two engines of their version serve, that go on, over the share of
     * new streams that begin.
     */
    double shareGoingOn() {
        long begun = streams.stream().filter(stream -> !stream.began.isEmpty()).count();
        double shareBegun = (double) begun / streams.size();
        return resumptions == 0 ? 1 : (double) resumptionsBegun / resumptions / shareBegun;
    }

    int resumptions() {
        return resumptions;
    }

    String summary() {
        long whole = streams.stream().filter(stream -> stream.whole).count();
        return "streams " + streams.size() + ", whole " + whole + ", taken up " + takenUp + ", of these go on " + wentOn
                + ", taken up while two engines of their version serve " + resumptions + ", of these go on "
                + resumptionsBegun + ", mixed " + mixed().size() + "; " + tally + "; " + fleet.resumptionOutcomes;
    }
}
