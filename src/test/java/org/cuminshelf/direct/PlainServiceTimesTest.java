package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.routes.RequestKind;

/** Tests the choice among plain upstreams by their service times. */
class PlainServiceTimesTest {

    private static final long STEP_MILLIS = 10;
    private static final long SERVICE_MILLIS = 60;
    private static final double SLOWDOWN = 2.5;
    private static final long SLOW_PERIOD_MILLIS = 600;

    private static DirectFixture entry() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 2, false)).becomeReady();
        entry.advance(5_000);
        for (String id : List.of("u0", "u1", "u2")) {
            entry.addUpstream(id, Role.ROLE_MIXED);
        }
        return entry;
    }

    /** Calls at a constant rate, and upstreams that answer each after its service time. */
    private static final class Traffic {
        private final DirectFixture entry;
        private final Map<DirectFixture.SentRequest, Long> answersAt = new HashMap<>();
        private int handled;
        private int number;

        private Traffic(DirectFixture entry) {
            this.entry = entry;
        }

        /** Sends a call every 10 ms and returns the number of those that each upstream received. */
        private Map<String, Integer> run(long millis, ToLongFunction<String> serviceMillis) {
            Map<String, Integer> counts = new HashMap<>();
            for (long end = entry.now + Durations.nanos(millis); entry.now < end; entry.advance(STEP_MILLIS)) {
                entry.sendRequest("r" + number++);
                while (handled < entry.sentRequests.size()) {
                    DirectFixture.SentRequest sent = entry.sentRequests.get(handled++);
                    counts.merge(sent.upstream, 1, Integer::sum);
                    answersAt.put(sent, entry.now + Durations.nanos(serviceMillis.applyAsLong(sent.upstream)));
                }
                answerDue();
            }
            return counts;
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

    private static long slowU1(String upstream) {
        return upstream.equals("u1") ? (long) (SLOWDOWN * SERVICE_MILLIS) : SERVICE_MILLIS;
    }

    private static void reportServiceTime(DirectFixture entry, String upstream, int served, double millis) {
        entry.reportLoad(EntryLoad.newBuilder()
                .addUpstreams(UpstreamLoad.newBuilder()
                        .setId(upstream)
                        .setServed(served)
                        .setServiceUs((int) (1_000 * millis * served))));
    }

    /** Returns the upstreams of some calls, none of which is answered. */
    private static List<String> order(DirectFixture entry, int calls) {
        List<String> order = new ArrayList<>();
        for (int index = 0; index < calls; index++) {
            entry.sendRequest("o" + index);
            order.add(entry.lastSent().upstream);
        }
        return order;
    }

    /*
     * Guards against other choices where upstreams are alike: service times within the dead band are noise, and must
     * not move calls from one upstream to another.
     */
    @Example
    void serviceTimesWithinTheDeadBandKeepTheOrderOfUpstreams() {
        List<String> without = order(entry(), 15);
        DirectFixture entry = entry();
        for (int round = 0; round < 5; round++) {
            reportServiceTime(entry, "u0", 4, 60);
            reportServiceTime(entry, "u1", 4, 66);
            reportServiceTime(entry, "u2", 4, 63);
        }
        assertThat(order(entry, 15)).isEqualTo(without);
    }

    /*
     * Guards against late answers of an upstream that is 2.5 times slower for 0.6 s again and again: it must get fewer
     * calls meanwhile, and its share again afterwards.
     */
    @Example
    void anUpstreamGetsFewerCallsWhileItIsSlowAndItsShareAfterwards() {
        Traffic traffic = new Traffic(entry());
        traffic.run(2_000, upstream -> SERVICE_MILLIS);
        for (int period = 0; period < 4; period++) {
            traffic.run(SLOW_PERIOD_MILLIS / 2, PlainServiceTimesTest::slowU1);
            Map<String, Integer> slow = traffic.run(SLOW_PERIOD_MILLIS / 2, PlainServiceTimesTest::slowU1);
            assertThat(slow.getOrDefault("u1", 0)).as("slow period " + period).isLessThanOrEqualTo(4);
            traffic.run(1_000, upstream -> SERVICE_MILLIS);
            Map<String, Integer> after = traffic.run(1_000, upstream -> SERVICE_MILLIS);
            assertThat(after.getOrDefault("u1", 0)).as("after period " + period).isBetween(25, 42);
        }
    }

    /*
     * Guards against an upstream that stays unused after a slow period because nothing is sent there any more, so that
     * no answer shows that it is fast again.
     */
    @Example
    void aSlowPeriodIsForgottenWithoutAnswers() {
        DirectFixture entry = entry();
        reportServiceTime(entry, "u0", 4, 60);
        reportServiceTime(entry, "u2", 4, 60);
        reportServiceTime(entry, "u1", 4, 150);
        assertThat(order(entry, 3)).doesNotContain("u1");
        entry.advance(1_200);
        assertThat(order(entry, 3)).contains("u1");
    }

    /*
     * Guards against a slow period that an entry does not notice, as it gets less than one answer a second of each
     * upstream: the answers of all entries count.
     */
    @Example
    void answersThatOtherEntriesReportCount() {
        DirectFixture entry = entry();
        for (String upstream : List.of("u0", "u1", "u2")) {
            reportServiceTime(entry, upstream, 10, 60);
        }
        for (int report = 0; report < 5; report++) {
            reportServiceTime(entry, "u1", 1, 150);
        }
        assertThat(order(entry, 4)).doesNotContain("u1");
    }

    /* Guards against service times that only the entry knows that measured them, and against reporting them twice. */
    @Example
    void theServiceTimeOfAnAnswerIsReportedOnce() {
        DirectFixture entry = entry();
        entry.sendUpdate(Update.newBuilder()
                .addEntryAddresses(DirectFixture.SELF.value())
                .addEntryAddresses("10.0.1.2:7000"));
        entry.sendRequest("r");
        entry.advance(SERVICE_MILLIS);
        entry.lastSent().respond(200, "x");
        entry.advance(1_000);
        List<UpstreamLoad> served = entry.out.take(Envelope::hasEntryLoad).stream()
                .flatMap(envelope -> envelope.getEntryLoad().getUpstreamsList().stream())
                .filter(load -> load.getServed() > 0)
                .toList();
        assertThat(served).hasSize(1);
        assertThat(served.getFirst().getServiceUs()).isBetween(59_000, 61_000);
    }
}
