package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import net.jqwik.api.Example;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Stop;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.WeightedService;
import org.eclipse.jetty.http.HttpFields;

/**
 * Guards against requests that a stopping entry passes on and cuts, in virtual time: requests of any length come on
 * kept connections, on new ones until the load balancer has noticed, and in pieces over seconds; upstreams pause.
 */
class StoppingEntryDayTest {

    /** Seeds in CI; more by hand with -Dstopping.seeds=1000. */
    private static final int SEEDS = Integer.getInteger("stopping.seeds", 50);

    /** When what is open gets its final response. */
    private static final long END_MILLIS = 7_600;

    private static final long NOTICE_MILLIS = 2_600;
    /** Time from which on no request may be cut, as its caller could have been sent elsewhere. */
    private static final long LATEST_CUT_MILLIS = 3_000;

    private static final long ANSWERS_MILLIS = 7_000;
    private static final int CALLERS = 40;
    private static final int BEFORE_MILLIS = 12_000;
    private static final int MAX_STREAM_MILLIS = 7_500;
    private static final int MAX_PLAIN_MILLIS = 1_900;
    private static final int MAX_READING_MILLIS = 3_000;

    /** Something that happens at a time. */
    private record Event(long at, Runnable action) {}

    /** A request and its response. */
    private final class Call extends DirectFixture.CallerResponse {

        private final String id = "q" + calls.size();
        private final long sentAt = entry.now;
        private final long takesMillis;
        private long endedAt = Long.MAX_VALUE;

        private Call(long takesMillis) {
            this.takesMillis = takesMillis;
        }

        private boolean isRefused() {
            return complete && status == 503;
        }

        private void noteEnd() {
            if (endedAt == Long.MAX_VALUE && (complete || aborted)) {
                endedAt = entry.now;
            }
        }
    }

    private DirectFixture entry;
    private UniformRandomProvider random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Call> calls = new ArrayList<>();
    private final Map<String, Call> callsById = new HashMap<>();
    private int handledSends;
    private long stopAt;
    private boolean stopping;

    @Example
    void noRequestIsPassedOnThatTheStopCuts() {
        int cutEarly = 0;
        int servedDuringStop = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            play(seed);
            for (Call call : calls) {
                boolean passedOn = entry.sentRequests.stream()
                        .anyMatch(sent -> call.id.equals(sent.request.headers().get("Request")));
                boolean afterNotice = call.sentAt - stopAt > Durations.nanos(LATEST_CUT_MILLIS);
                String name = "seed " + seed + ", " + call.id + ", sent " + Durations.millis(call.sentAt - stopAt);
                assertThat(call.complete || call.aborted)
                        .as("%s has ended", name)
                        .isTrue();
                assertThat(call.isRefused() && passedOn)
                        .as("%s refused and run", name)
                        .isFalse();
                assertThat(call.aborted && passedOn && afterNotice)
                        .as("%s cut", name)
                        .isFalse();
                if (call.isRefused() && call.sentAt >= stopAt) {
                    assertThat(call.endedAt).as("%s refused at once", name).isEqualTo(call.sentAt);
                }
                cutEarly += call.aborted && call.endedAt >= stopAt + Durations.nanos(END_MILLIS) ? 1 : 0;
                servedDuringStop += call.sentAt >= stopAt && call.complete && call.status == 200 ? 1 : 0;
            }
        }
        System.out.println(
                "stopping entry, virtual time, " + SEEDS + " seeds: served of those sent after the stop began "
                        + servedDuringStop + ", cut of those sent early " + cutEarly);
        assertThat(servedDuringStop).isPositive();
    }

    /* Guards against a request that waits for an upstream, though it can no longer end before the stop does. */
    @Example
    void aWaitingRequestThatCannotEndInTimeIsRefusedAsTheStopBegins() {
        entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.IDEMPOTENT, 3)).becomeReady();
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Deadline", "8000");
        assertThat(response.complete).isFalse();
        entry.core.accept(
                entry.now,
                Envelope.newBuilder()
                        .setFrom(Address.PROCESS.value())
                        .setStop(Stop.newBuilder().setAnswersMs(ANSWERS_MILLIS))
                        .build(),
                entry.out);
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.sentRequests).isEmpty();
    }

    private void play(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        events.clear();
        calls.clear();
        callsById.clear();
        handledSends = 0;
        stopping = false;
        entry = new DirectFixture(
                Organisations.unrestricted(),
                route("plain", RequestKind.IDEMPOTENT, false, 2_000),
                route("once", RequestKind.STREAM, false, 5_000),
                route("resumable", RequestKind.STREAM, true, 8_000));
        entry.becomeReady();
        for (String upstream : List.of("a", "b", "c", "d", "e", "f", "g")) {
            entry.addUpstream(upstream, Role.ROLE_MIXED);
        }
        long start = entry.now;
        stopAt = start + Durations.nanos(BEFORE_MILLIS);
        for (int caller = 0; caller < CALLERS; caller++) {
            at(start + Durations.nanos(random.nextInt(1_000)), this::sendOnKeptConnection);
        }
        at(stopAt, this::beginStop);
        addCallersThatDoNotKnow();
        at(stopAt + Durations.nanos(END_MILLIS), this::endStop);
        while (!events.isEmpty()) {
            Event next = events.poll();
            entry.advance(Durations.millis(Math.max(0, next.at - entry.now)));
            entry.now = Math.max(entry.now, next.at);
            next.action.run();
            handleSends();
            calls.forEach(Call::noteEnd);
        }
    }

    private static Route route(String name, RequestKind kind, boolean resumable, long timeoutMillis) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                kind,
                timeoutMillis,
                500,
                0,
                List.of(new WeightedService("s", 1)),
                1,
                resumable,
                DirectFixture.PAUSE_MILLIS,
                false);
    }

    private void at(long at, Runnable action) {
        events.add(new Event(at, action));
    }

    private void beginStop() {
        stopping = true;
        entry.core.accept(
                entry.now,
                Envelope.newBuilder()
                        .setFrom(Address.PROCESS.value())
                        .setStop(Stop.newBuilder().setNoticeMs(NOTICE_MILLIS).setAnswersMs(ANSWERS_MILLIS))
                        .build(),
                entry.out);
    }

    private void endStop() {
        entry.core.endOpenCalls();
        events.clear();
    }

    /** Callers on new connections until the load balancer has noticed, some of which send their request in pieces. */
    private void addCallersThatDoNotKnow() {
        long end = stopAt + Durations.nanos(NOTICE_MILLIS);
        long next = stopAt;
        while (next < end) {
            next += Durations.nanos(1 + random.nextInt(60));
            long readingMillis = random.nextInt(4) == 0 ? random.nextInt(MAX_READING_MILLIS) : 0;
            at(next + Durations.nanos(readingMillis), () -> send(Durations.nanos(readingMillis)));
        }
    }

    /** Sends a request at once after the last one has ended; the first answer of the stop tells to go elsewhere. */
    private void sendOnKeptConnection() {
        boolean last = stopping;
        Call call = send(0);
        awaitEnd(call, last);
    }

    private void awaitEnd(Call call, boolean last) {
        if (call.complete && !last) {
            sendOnKeptConnection();
        } else if (!call.complete && !call.aborted) {
            at(entry.now + Durations.nanos(1), () -> awaitEnd(call, last));
        }
    }

    private Call send(long readingNanos) {
        int kind = random.nextInt(3);
        long takesMillis = 20 + random.nextInt(kind == 0 ? MAX_PLAIN_MILLIS : MAX_STREAM_MILLIS);
        Call call = new Call(takesMillis);
        calls.add(call);
        callsById.put(call.id, call);
        String path = List.of("/plain/x", "/once/x", "/resumable/x").get(kind);
        HttpFields headers =
                HttpFields.build().put("Host", "h").put("Id", call.id).put("Deadline", "10000");
        entry.core.onRequest(new ReceivedRequest("POST", path, headers, new byte[0], readingNanos), call);
        return call;
    }

    /** Lets upstreams answer the requests sent since the last step: streams with an event each second. */
    private void handleSends() {
        while (handledSends < entry.sentRequests.size()) {
            DirectFixture.SentRequest sent = entry.sentRequests.get(handledSends++);
            Call call = callsById.get(sent.request.headers().get("Request"));
            long endAt = entry.now + Durations.nanos(call.takesMillis);
            boolean plain = sent.request.target().startsWith("/plain");
            if (!plain) {
                at(entry.now + Durations.nanos(5), () -> ifRunning(sent, () -> sent.respondSealedHead(200)));
                int number = 1;
                for (long event = entry.now + Durations.nanos(6); event < endAt; event += Durations.nanos(1_000)) {
                    String text = "id: " + number++ + "\ndata: x\n\n";
                    at(event, () -> ifRunning(sent, () -> sent.respondBody(text)));
                }
            }
            at(
                    endAt + Durations.nanos(6),
                    () -> ifRunning(sent, () -> {
                        if (plain) {
                            sent.respond(200, "ok");
                        } else {
                            sent.handler.onComplete();
                        }
                    }));
        }
    }

    private static void ifRunning(DirectFixture.SentRequest sent, Runnable action) {
        if (!sent.cancelled) {
            action.run();
        }
    }
}
