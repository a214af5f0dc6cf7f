package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import net.jqwik.api.Example;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;
import org.eclipse.jetty.http.HttpFields;

/**
 * Guards against requests that are sent on long after their callers have left, at entries that take two to twenty times
 * as long for all they do. Virtual time: one step after the other takes its time, while requests, answers and closes
 * wait in the sockets.
 */
class LateEntryDayTest {

    /** Seeds in CI; 50 by hand with -Dlate.seeds=50. */
    private static final int SEEDS = Integer.getInteger("late.seeds", 10);

    private static final int MAX_LATE = 3;
    private static final long LATE_NANOS = Durations.nanos(500);
    private static final long STEP_NANOS = Durations.nanos(1);
    private static final long DAY_MILLIS = 6_000;
    private static final long BURST_MILLIS = 400;
    private static final int MIN_SLOWNESS = 2;
    private static final int MAX_SLOWNESS = 20;
    private static final long MIN_WAIT_MILLIS = 50;
    private static final long MAX_WAIT_MILLIS = 1_500;
    private static final int BURST_GAP_MILLIS = 8;
    private static final int CALM_GAP_MILLIS = 80;

    /** What waits in a socket of the entry from a time on. */
    private record Arrival(long at, Runnable handling) {}

    private final class Caller extends DirectFixture.CallerResponse {
        private final String id;
        private final long closesAt;

        private Caller(String id, long closesAt) {
            this.id = id;
            this.closesAt = closesAt;
        }

        @Override
        public boolean hasCallerLeft() {
            return entry.now >= closesAt;
        }
    }

    private DirectFixture entry;
    private UniformRandomProvider random;
    private long stepNanos;
    private final PriorityQueue<Arrival> sockets = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Caller> callers = new ArrayList<>();
    private int lateSends;
    private int handledSends;
    private int answered;

    @Example
    void fewRequestsAreSentOnLongAfterTheirCallersHaveLeft() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            play(seed);
            System.out.println("late entry, virtual time, seed " + seed + ": callers " + callers.size() + ", answered "
                    + answered + ", sent " + entry.sentRequests.size() + ", late " + lateSends);
            assertThat(lateSends).as("late, seed %d", seed).isLessThanOrEqualTo(MAX_LATE);
        }
    }

    private void play(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        sockets.clear();
        callers.clear();
        lateSends = 0;
        handledSends = 0;
        answered = 0;
        stepNanos = STEP_NANOS * random.nextInt(MIN_SLOWNESS, MAX_SLOWNESS + 1);
        entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.IDEMPOTENT, 3));
        boolean readyFromTheStart = random.nextBoolean();
        if (readyFromTheStart) {
            becomeReady();
        }
        long start = entry.now;
        addCallers(start);
        boolean ready = readyFromTheStart;
        while (!sockets.isEmpty()) {
            ready = ready || becomeReadyLate(start);
            Arrival next = sockets.poll();
            entry.now = Math.max(entry.now, next.at) + random.nextLong(stepNanos);
            next.handling.run();
            entry.core.tick(entry.now, entry.out);
            handleSends();
        }
    }

    private void becomeReady() {
        entry.becomeReady();
        for (String upstream : List.of("a", "b", "c")) {
            entry.addUpstream(upstream, Role.ROLE_MIXED);
        }
    }

    private boolean becomeReadyLate(long start) {
        if (entry.now - start < Durations.nanos(BURST_MILLIS)) {
            return false;
        }
        becomeReady();
        handleSends();
        return true;
    }

    private void addCallers(long start) {
        long at = 0;
        while (at < DAY_MILLIS) {
            boolean burst = at / BURST_MILLIS % 2 == 0;
            at += 1 + random.nextInt(burst ? BURST_GAP_MILLIS : CALM_GAP_MILLIS);
            long arrivesAt = start + Durations.nanos(at);
            long waits = Durations.nanos(random.nextLong(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS));
            Caller caller = new Caller("q" + callers.size(), arrivesAt + waits);
            callers.add(caller);
            sockets.add(new Arrival(arrivesAt, () -> ask(caller)));
            sockets.add(new Arrival(caller.closesAt, () -> tellClose(caller)));
        }
    }

    private void ask(Caller caller) {
        HttpFields headers =
                HttpFields.build().put("Host", "h").put("Id", caller.id).put("Deadline", "1500");
        entry.core.onRequest(new ReceivedRequest("POST", "/a/b", headers, new byte[0]), caller);
    }

    private void tellClose(Caller caller) {
        if (!caller.complete) {
            entry.core.onDisconnect(caller);
        }
    }

    /** Judges the requests sent since the last step, and lets their upstreams answer soon or fail. */
    private void handleSends() {
        Deque<DirectFixture.SentRequest> sent =
                new ArrayDeque<>(entry.sentRequests.subList(handledSends, entry.sentRequests.size()));
        handledSends = entry.sentRequests.size();
        for (DirectFixture.SentRequest request : sent) {
            Caller caller = callers.get(Integer.parseInt(idOf(request).substring(1)));
            lateSends += entry.now > caller.closesAt + LATE_NANOS ? 1 : 0;
            long answersAt = entry.now + Durations.nanos(5 + random.nextInt(20));
            boolean fails = random.nextInt(10) == 0;
            sockets.add(new Arrival(answersAt, () -> answer(request, caller, fails)));
        }
    }

    private void answer(DirectFixture.SentRequest request, Caller caller, boolean fails) {
        if (request.cancelled) {
            return;
        }
        if (fails) {
            request.handler.onFailed(true, "reset");
        } else {
            request.respond(200, "ok");
        }
        answered += caller.complete && !caller.hasCallerLeft() ? 1 : 0;
    }

    private static String idOf(DirectFixture.SentRequest request) {
        return request.request.headers().get("Request");
    }
}
