package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Guards against retries that are taken from the budget once and reach upstreams more often. */
class RetryArrivalsTest {

    private static final RetryLimits ONE_RETRY = new RetryLimits(0, 1.5, 10_000);
    private static final RetryLimits NO_RETRY = new RetryLimits(0, 0, 10_000);

    private static DirectFixture entry(RetryLimits limits) {
        DirectFixture entry =
                new DirectFixture(limits, DirectFixture.patientRoute(RequestKind.STREAM, 4)).becomeReady();
        entry.setEntries("10.0.1.1:7000");
        // Longer than the window of the budget, and until no call is queued for engines that are not known yet.
        entry.advance(25_000);
        entry.setEntries("10.0.1.1:7000");
        for (String engine : new String[] {"p1", "p2"}) {
            entry.addUpstream(engine, Role.ROLE_PREFILL).reportPrefillTimes(engine, Role.ROLE_PREFILL, 5, 20);
        }
        for (String engine : new String[] {"d1", "d2", "d3"}) {
            entry.addUpstream(engine, Role.ROLE_DECODE).reportPrefillTimes(engine, Role.ROLE_DECODE, 10, 60);
        }
        return entry;
    }

    private static DirectFixture.CallerResponse sendPrompt(DirectFixture entry, String id) {
        return entry.sendRequest(id, "Tokens", "9000", "Deadline", "8000");
    }

    private static boolean isPrefill(DirectFixture.SentRequest sent) {
        return "true".equals(sent.request.headers().get("Prefill"));
    }

    private static void completePrefill(DirectFixture entry) {
        DirectFixture.SentRequest prefill = entry.lastSent();
        assertThat(isPrefill(prefill)).isTrue();
        prefill.respondHead(200);
        prefill.respondBody("kv");
        prefill.handler.onComplete();
    }

    private static void reject(DirectFixture.SentRequest sent) {
        sent.respondHead(503, "Not-Run", "1");
        sent.handler.onComplete();
    }

    /** Returns the number of requests that reached engines, without releases of KV caches. */
    private static long arrivals(DirectFixture entry) {
        return entry.sentRequests.stream()
                .filter(sent -> !sent.request.method().equals("DELETE"))
                .count();
    }

    @Example
    void aDecodeThatBreaksIsFollowedByOneArrivalIfOneRetryIsLeft() {
        DirectFixture entry = entry(ONE_RETRY);
        sendPrompt(entry, "a");
        completePrefill(entry);
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(isPrefill(entry.lastSent())).isFalse();
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(1_000);
        assertThat(arrivals(entry)).isEqualTo(3);
    }

    @Example
    void aKvCacheThatLapsedIsFollowedByOneArrivalIfOneRetryIsLeft() {
        DirectFixture entry = entry(ONE_RETRY);
        sendPrompt(entry, "a");
        completePrefill(entry);
        reject(entry.lastSent());
        reject(entry.lastSent());
        entry.advance(1_000);
        assertThat(arrivals(entry)).isEqualTo(3);
    }

    @Example
    void aPrefillThatIsRejectedIsTheFirstArrivalOfItsRequest() {
        DirectFixture entry = entry(NO_RETRY);
        sendPrompt(entry, "a");
        reject(entry.lastSent());
        entry.advance(1_000);
        assertThat(arrivals(entry)).isEqualTo(1);
    }

    @Example
    void anAttemptThatNeverLeftTheEntryUsesNoRetry() {
        DirectFixture entry = entry(NO_RETRY);
        sendPrompt(entry, "a");
        completePrefill(entry);
        entry.lastSent().handler.onFailed(false, "refused");
        entry.advance(200);
        assertThat(arrivals(entry)).isEqualTo(3);
    }
}
