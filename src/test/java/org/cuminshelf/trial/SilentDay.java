package org.cuminshelf.trial;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Durations;
import org.cuminshelf.direct.RetryLimits;
import org.cuminshelf.exchange.CallerLimits;

/** Steady traffic of each kind of request, and engines that fall silent and go on, from one seed. */
final class SilentDay {

    /** Something that happens again and again. */
    interface Disturbance {
        void happen(SilentDay day);
    }

    private static final long SECOND = Durations.nanos(1_000);
    private static final int ENTRIES = 4;
    private static final int MANY_ENGINES = 4;
    private static final int FEWEST_ATTEMPTS = 2;
    private static final RetryLimits FEW_RETRIES = new RetryLimits(0.02, 4, 10_000);
    private static final int HIGHEST_WEIGHT = 9;
    private static final long TRAFFIC_FROM = 8 * SECOND;
    private static final long DISTURBED_FROM = 10 * SECOND;
    private static final long DISTURBED_UNTIL = 30 * SECOND;
    private static final long TRAFFIC_UNTIL = 32 * SECOND;
    private static final long END = 42 * SECOND;
    private static final long CALL_EVERY = SECOND / 90;
    /** Time without an event after which the caller of a stream leaves. */
    private static final long STREAM_PATIENCE = 2 * SECOND;

    final DirectFleet fleet;
    final List<DirectFleet.Call> calls = new ArrayList<>();
    /** Apart from the fleet's, so that the schedule stays the same when the product decides otherwise. */
    private final UniformRandomProvider schedule;

    private final long shortestSilenceMillis;
    private final long longestSilenceMillis;

    private SilentDay(long seed, DirectFleet.Shape shape, long shortestSilenceMillis, long longestSilenceMillis) {
        fleet = new DirectFleet(seed, shape);
        schedule = RandomSource.XO_RO_SHI_RO_128_PP.create(~seed);
        this.shortestSilenceMillis = shortestSilenceMillis;
        this.longestSilenceMillis = longestSilenceMillis;
        fleet.engines.forEach(CrashingEngine::mixed);
        fleet.time.at(TRAFFIC_FROM, this::ask);
    }

    private static DirectFleet.Shape shape(long seed, int engines, int services, RetryLimits retries) {
        return new DirectFleet.Shape(ENTRIES, engines, services, FEWEST_ATTEMPTS + (int) (seed % 2), retries);
    }

    private static int engines(long seed) {
        return 2 + (int) (seed % (MANY_ENGINES - 1));
    }

    /** A day with two to four engines. */
    static SilentDay of(long seed, long shortestSilenceMillis, long longestSilenceMillis) {
        DirectFleet.Shape shape = shape(seed, engines(seed), 1, RetryLimits.DEFAULT);
        return new SilentDay(seed, shape, shortestSilenceMillis, longestSilenceMillis);
    }

    /** A day with four engines that are never silent. */
    static SilentDay ofFourEngines(long seed) {
        return new SilentDay(seed, shape(seed, MANY_ENGINES, 1, RetryLimits.DEFAULT), 0, 0);
    }

    /** A day with one engine, so that nothing can be sent elsewhere. */
    static SilentDay ofOneEngine(long seed, long shortestSilenceMillis, long longestSilenceMillis) {
        DirectFleet.Shape shape = shape(seed, 1, 1, RetryLimits.DEFAULT);
        return new SilentDay(seed, shape, shortestSilenceMillis, longestSilenceMillis);
    }

    /** A day with two services of two engines each. */
    static SilentDay ofTwoServices(long seed, long shortestSilenceMillis, long longestSilenceMillis) {
        DirectFleet.Shape shape = shape(seed, MANY_ENGINES, 2, RetryLimits.DEFAULT);
        return new SilentDay(seed, shape, shortestSilenceMillis, longestSilenceMillis);
    }

    /** A day on which the service allows far fewer retries than a silence of all engines would take. */
    static SilentDay ofFewRetries(long seed, long shortestSilenceMillis, long longestSilenceMillis) {
        DirectFleet.Shape shape = shape(seed, engines(seed), 1, FEW_RETRIES);
        return new SilentDay(seed, shape, shortestSilenceMillis, longestSilenceMillis);
    }

    private void ask() {
        List<String> paths = List.of(DirectFleet.RESUMABLE, DirectFleet.ONCE, DirectFleet.IDEMPOTENT);
        String path = paths.get(calls.size() % paths.size());
        VirtualNode entry = fleet.entries.get(schedule.nextInt(ENTRIES));
        DirectFleet.Call call = fleet.ask(entry, path, "call-" + calls.size(), over -> {});
        calls.add(call);
        if (!path.equals(DirectFleet.IDEMPOTENT)) {
            call.leaveAfter(STREAM_PATIENCE);
        }
        if (fleet.time.now() < TRAFFIC_UNTIL) {
            fleet.time.after(CALL_EVERY, this::ask);
        }
    }

    /** Has something happen again and again, between two times apart. */
    SilentDay again(long shortestGapMillis, long longestGapMillis, Disturbance disturbance) {
        fleet.time.at(DISTURBED_FROM, () -> repeat(shortestGapMillis, longestGapMillis, disturbance));
        return this;
    }

    private void repeat(long shortestGapMillis, long longestGapMillis, Disturbance disturbance) {
        if (fleet.time.now() >= DISTURBED_UNTIL) {
            return;
        }
        disturbance.happen(this);
        long gap = between(shortestGapMillis, longestGapMillis);
        fleet.time.after(Durations.nanos(gap), () -> repeat(shortestGapMillis, longestGapMillis, disturbance));
    }

    private long between(long least, long most) {
        return least + schedule.nextLong(most - least + 1);
    }

    SilentDay run() {
        fleet.time.runUntil(END);
        return this;
    }

    // ---- what may happen

    /** So many engines fall silent at once. */
    void silence(int count, EngineSilence.Scope scope) {
        long until = fleet.time.now() + Durations.nanos(between(shortestSilenceMillis, longestSilenceMillis));
        List<CrashingEngine> engines = new ArrayList<>(fleet.engines);
        Collections.shuffle(engines, new Random(schedule.nextLong()));
        engines.subList(0, Math.min(count, engines.size()))
                .forEach(engine -> engine.fallSilent(new EngineSilence(until, scope)));
    }

    /** The same engine falls silent each time. */
    void silenceFirst() {
        long until = fleet.time.now() + Durations.nanos(between(shortestSilenceMillis, longestSilenceMillis));
        fleet.engines.getFirst().fallSilent(new EngineSilence(until, EngineSilence.Scope.EVERYTHING));
    }

    /** One engine crashes, if enough are up. */
    void crashOne() {
        List<CrashingEngine> up =
                fleet.engines.stream().filter(CrashingEngine::isUp).toList();
        if (up.size() > 1) {
            up.get(schedule.nextInt(up.size())).crash();
        }
    }

    void silenceAll() {
        silence(fleet.engines.size(), EngineSilence.Scope.EVERYTHING);
    }

    void silenceAllButOne() {
        silence(fleet.engines.size() - 1, EngineSilence.Scope.EVERYTHING);
    }

    void silenceSomehow() {
        EngineSilence.Scope[] scopes = EngineSilence.Scope.values();
        silence(1 + schedule.nextInt(fleet.engines.size()), scopes[schedule.nextInt(scopes.length)]);
    }

    void killConnection() {
        fleet.engines.get(schedule.nextInt(fleet.engines.size())).killConnection(schedule.nextInt(Integer.MAX_VALUE));
    }

    /** Changes the timeout and the weights of all routes, the limits for callers, or the number of routes. */
    void reconfigure() {
        long timeout = schedule.nextBoolean() ? DirectFleet.PATIENCE_MILLIS : AnswerAudit.SHORTEST_TIMEOUT_MILLIS;
        int routes = schedule.nextBoolean() ? 0 : 400;
        CallerLimits usual = CallerLimits.DEFAULT;
        CallerLimits limits = new CallerLimits(
                usual.maxHeaderBytes(), usual.maxBodyBytes(), usual.headerTimeoutMillis(), between(1_000, 30_000));
        fleet.reconfigure(timeout, (int) between(1, HIGHEST_WEIGHT), routes, limits);
    }

    void disturbEntry() {
        VirtualNode entry = fleet.entries.get(schedule.nextInt(ENTRIES));
        if (schedule.nextBoolean()) {
            fleet.standStill(entry, between(100, 900));
        } else if (entry.isAlive()) {
            fleet.restartEntry(entry, between(300, 2_000));
        }
    }

    // ---- what came of it

    AnswerAudit audit() {
        return AnswerAudit.of(fleet, calls);
    }

    /** Steps of engines that fell into a silence. */
    int stepsPutOff() {
        return fleet.engines.stream().mapToInt(engine -> engine.stepsPutOff).sum();
    }

    long served() {
        return calls.stream().filter(DirectFleet.Call::isServed).count();
    }

    /** One line on the calls and the engines. */
    String summary() {
        long left = calls.stream().filter(call -> call.left).count();
        long entryLost = calls.stream().filter(call -> call.entryLost).count();
        long refused = calls.stream().filter(call -> call.status == 503).count();
        long repeats = fleet.records.deliveries.values().stream()
                .mapToLong(times -> times.size() - 1)
                .sum();
        return fleet.engines.size() + " engines, " + fleet.shape().attempts() + " attempts, calls " + calls.size()
                + ", served "
                + served() + ", refused " + refused + ", left by callers " + left + ", entry lost " + entryLost
                + ", repeats " + repeats + ", steps put off " + stepsPutOff();
    }
}
