package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.WeightedService;

/** Tests plain calls for which all slots of upstreams are taken. */
class PlainCallAdmissionTest {

    private static final List<String> UPSTREAMS = List.of("u0", "u1", "u2");
    private static final int SLOTS = 6;
    /** An eighth of the latency target of 200 ms, and one interval of the queue. */
    private static final long MAX_WAIT_MILLIS = 35;

    private static Route route(String name, RequestKind kind, int attempts) {
        List<WeightedService> services = List.of(new WeightedService("s", 1));
        return new Route(name, "h", "/" + name + "/", kind, 1_000, 200, 0, services, attempts, false, 200, false);
    }

    private static DirectFixture startingEntry() {
        return new DirectFixture(
                        route("views", RequestKind.IDEMPOTENT, 2), route("bookings", RequestKind.NON_IDEMPOTENT, 1))
                .becomeReady();
    }

    private static DirectFixture entry() {
        DirectFixture entry = startingEntry();
        entry.advance(5_000);
        UPSTREAMS.forEach(id -> entry.addUpstream(id, Role.ROLE_MIXED));
        return entry;
    }

    private static List<DirectFixture.CallerResponse> sendViews(DirectFixture entry, int count) {
        List<DirectFixture.CallerResponse> answers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            answers.add(entry.sendRequestTo("/views/a", "v" + index));
        }
        return answers;
    }

    private static long sentTo(DirectFixture entry, String upstream) {
        return entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals(upstream))
                .count();
    }

    /** Upstreams that serve as many requests at a time as they have slots, queue two more and reject others. */
    private static final class Upstreams {
        private static final long SERVICE_MILLIS = 15;
        private static final int MAX_REQUESTS = SLOTS + 2;

        private final DirectFixture entry;
        private final Map<DirectFixture.SentRequest, Long> answersAt = new HashMap<>();
        private int handled;
        private int rejections;

        private Upstreams(DirectFixture entry) {
            this.entry = entry;
        }

        private void run(long millis) {
            for (long end = entry.now + Durations.nanos(millis); entry.now < end; entry.advance(5)) {
                answerDue();
                while (handled < entry.sentRequests.size()) {
                    accept(entry.sentRequests.get(handled++));
                }
            }
        }

        private void accept(DirectFixture.SentRequest sent) {
            long running = answersAt.keySet().stream()
                    .filter(other -> other.upstream.equals(sent.upstream))
                    .count();
            if (running >= MAX_REQUESTS) {
                rejections++;
                sent.respondHead(503, "Seal", "s", "Not-Run", "1");
                sent.handler.onComplete();
                return;
            }
            long rounds = 1 + running / SLOTS;
            answersAt.put(sent, entry.now + Durations.nanos(rounds * SERVICE_MILLIS));
        }

        private void answerDue() {
            for (DirectFixture.SentRequest sent : List.copyOf(answersAt.keySet())) {
                if (entry.now >= answersAt.get(sent)) {
                    answersAt.remove(sent);
                    sent.respond(200, "x");
                }
            }
        }
    }

    /*
     * Guards against rejections by upstreams in a burst of reads beside bookings: for some milliseconds more calls
     * arrive than the upstreams accept, and a slot is free soon after.
     */
    @Example
    void aBurstOfReadsBesideBookingsIsNotRejectedByUpstreams() {
        DirectFixture entry = entry();
        Upstreams upstreams = new Upstreams(entry);
        List<DirectFixture.CallerResponse> answers = new ArrayList<>();
        for (int round = 0; round < 10; round++) {
            for (int booking = 0; booking < 7; booking++) {
                answers.add(entry.sendRequestTo("/bookings/a", "b" + round + "-" + booking));
                for (int view = 0; view < 4; view++) {
                    answers.add(entry.sendRequestTo("/views/a", "v" + round + "-" + booking + "-" + view));
                }
            }
            upstreams.run(100);
        }
        assertThat(upstreams.rejections).isZero();
        assertThat(answers).allSatisfy(answer -> assertThat(answer.status).isEqualTo(200));
        assertThat(entry.sentRequests).hasSameSizeAs(answers);
        assertThat(entry.core.waitedPlainCalls()).isPositive();
    }

    /*
     * Guards against rejections after a power cut: the first plain upstream that was known received all waiting calls
     * and rejected most of them.
     */
    @Example
    void theFirstUpstreamKnownAfterAStartDoesNotGetAllCalls() {
        DirectFixture entry = startingEntry();
        List<DirectFixture.CallerResponse> answers = sendViews(entry, 18);
        entry.addUpstream("u0", Role.ROLE_MIXED);
        entry.advance(200);
        assertThat(sentTo(entry, "u0")).isEqualTo(SLOTS);
        entry.addUpstream("u1", Role.ROLE_MIXED);
        entry.addUpstream("u2", Role.ROLE_MIXED);
        entry.advance(50);
        UPSTREAMS.forEach(id -> assertThat(sentTo(entry, id)).as(id).isEqualTo(SLOTS));
        assertThat(answers).allSatisfy(answer -> assertThat(answer.status).isZero());
    }

    /*
     * Guards against calls that wait at an entry until they are late: an upstream queues more requests than it has
     * slots, so a call is sent after a short wait.
     */
    @Example
    void aCallWithoutAFreeSlotIsSentAfterAShortWait() {
        DirectFixture entry = entry();
        sendViews(entry, 3 * SLOTS + 1);
        assertThat(entry.sentRequests).hasSize(3 * SLOTS);
        entry.advance(MAX_WAIT_MILLIS);
        assertThat(entry.sentRequests).hasSize(3 * SLOTS + 1);
    }

    /*
     * Guards against slots that seem free because other entries use them: reports of other entries count.
     */
    @Example
    void requestsOfOtherEntriesTakeSlots() {
        DirectFixture entry = entry();
        EntryLoad.Builder load = EntryLoad.newBuilder();
        UPSTREAMS.forEach(
                id -> load.addUpstreams(UpstreamLoad.newBuilder().setId(id).setRunning(SLOTS)));
        entry.reportLoad(load);
        sendViews(entry, 1);
        assertThat(entry.sentRequests).isEmpty();
        entry.reportLoad(EntryLoad.newBuilder());
        entry.advance(15);
        assertThat(entry.sentRequests).hasSize(1);
    }

    /* Guards against calls that are held until their time is up, so that their callers cannot retry. */
    @Example
    void aCallThatCannotBeSentBeforeItsDeadlineIsRefusedAtOnce() {
        DirectFixture entry = entry();
        sendViews(entry, 3 * SLOTS);
        DirectFixture.CallerResponse answer = entry.sendRequestTo("/bookings/a", "late", "Deadline", "50");
        assertThat(answer.status).isEqualTo(503);
        assertThat(answer.headers.get("Retry-After")).isNotNull();
        assertThat(entry.sentRequests).hasSize(3 * SLOTS);
    }

    /* Guards against a second wait of a call that an upstream has rejected: half of its time may be over. */
    @Example
    void aRejectedCallDoesNotWaitForASlot() {
        DirectFixture entry = entry();
        sendViews(entry, 3 * SLOTS);
        DirectFixture.SentRequest rejected = entry.sentRequests.getFirst();
        rejected.respondHead(503, "Seal", "s", "Not-Run", "1");
        rejected.handler.onComplete();
        assertThat(entry.sentRequests).hasSize(3 * SLOTS + 1);
        assertThat(entry.lastSent().upstream).isNotEqualTo(rejected.upstream);
    }
}
