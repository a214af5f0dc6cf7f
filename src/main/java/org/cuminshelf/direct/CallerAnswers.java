package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Gives callers their answers, and writes the line of each request. A status says what is known: 503 only of what did
 * not run and never will, 502 and 504 of what may have run.
 */
final class CallerAnswers {

    /** When to come back after a refusal, in milliseconds: soon enough for an upstream's place to have come free. */
    static final long RETRY_AFTER_MILLIS = 200;

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ControlFeed control;
    private final DecisionLog log;

    CallerAnswers(ControlFeed control, DecisionLog log) {
        this.control = control;
        this.log = log;
    }

    /** Begins the answer to a call with the first bytes of an attempt's. */
    void begin(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        if (!call.begun) {
            call.begun = true;
            call.firstAnswerAt = now;
            call.exchange.begin(attempt.status, passedHeaders(attempt.headers));
        }
    }

    /** Passes an upstream's answer on whole. */
    void pass(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        if (call.isStream() && attempt.isSuccess()) {
            begin(now, attempt);
            call.exchange.part(ByteBuffer.wrap(attempt.events.rest()));
            call.exchange.end();
        } else {
            call.firstAnswerAt = now;
            call.exchange.answer(
                    attempt.status, passedHeaders(attempt.headers), ByteBuffer.wrap(attempt.body.toByteArray()));
        }
        log.ordinary(
                call.intent.id(),
                "outcome",
                attempt.status,
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "upstream",
                attempt.upstream.id,
                "attempts",
                call.attempts,
                "events",
                call.eventsGiven,
                "tokens",
                call.promptTokens(),
                "expected-ms",
                Math.round(call.expectedMillis),
                "wait-ms",
                Math.round(call.waitMillis),
                "read-ms",
                call.readMillis,
                "way",
                attempt.hadCache ? "split" : "whole",
                "pause-ms",
                Durations.millis(call.longestPause),
                "first-ms",
                Durations.millis(call.firstAnswerAt - call.arrivedAt),
                "ms",
                Durations.millis(now - call.arrivedAt));
    }

    /** Tells a caller that its call is given up: cut, may have run, or did not run. */
    void giveUp(long now, CallRow call, String reason) {
        if (call.begun) {
            call.exchange.abort();
        } else if (call.mayHaveRun) {
            boolean late = now >= call.deadline;
            plainly(call.exchange, late ? GATEWAY_TIMEOUT : BAD_GATEWAY, "The request may have run: " + reason + ".");
        } else {
            long wait = call.lastFailure
                    .filter(verdict -> verdict instanceof Verdict.NotRun)
                    .map(verdict -> ((Verdict.NotRun) verdict).retryAfterMillis())
                    .filter(millis -> millis > 0)
                    .orElse(RETRY_AFTER_MILLIS);
            refuse(call.exchange, "The request did not run: " + reason + ".", wait);
        }
        log.note(
                "request",
                call.intent.id(),
                "outcome",
                call.begun ? "cut" : call.mayHaveRun ? "may-have-run" : "not-run",
                "reason",
                reason,
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "config",
                control.version(),
                "attempts",
                call.attempts,
                "events",
                call.eventsGiven,
                "upstream",
                call.attempt == null ? "none" : call.attempt.upstream.id,
                "quiet-ms",
                call.attempt == null ? 0 : Durations.millis(now - call.attempt.lastProgressAt),
                "tokens",
                call.promptTokens(),
                "size",
                call.claim.map(SizeFairness.Claim::sizeGroup).orElse("none"),
                "owed",
                call.claim.filter(SizeFairness.Claim::hasCredit).isPresent(),
                "expected-ms",
                Math.round(call.expectedMillis),
                "wait-ms",
                Math.round(call.waitMillis),
                "ms",
                Durations.millis(now - call.arrivedAt));
    }

    /** The caller left before its answer was whole. */
    void gone(long now, CallRow call) {
        log.ordinary(
                call.intent.id(),
                "outcome",
                "caller-gone",
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "events",
                call.eventsGiven,
                "ms",
                Durations.millis(now - call.arrivedAt));
    }

    /** Refuses a request that came before the routes were confirmed. */
    void refuseUnready(CallerExchange exchange, CallIntent intent) {
        log.note("request", intent.id(), "outcome", "not-run", "reason", "no confirmed configuration yet");
        refuse(exchange, "This process has no confirmed configuration yet.", RETRY_AFTER_MILLIS);
    }

    /** Refuses what a newer configuration than the one in force here may know. */
    void refuseUntilCurrent(CallerExchange exchange) {
        refuse(
                exchange,
                "A newer configuration may know this request; it is not in force here yet.",
                RETRY_AFTER_MILLIS);
    }

    /**
     * Refuses a request under which upstreams crashed. With 503, which is true of this attempt and keeps a request that
     * is refused wrongly from being lost: a status of the caller's own fault would tell it never to ask again, also
     * once the request is released.
     */
    void refuse(CallRow call, PoisonSystem.Refusal refusal) {
        refuse(
                call.exchange,
                "The request did not run: upstreams crashed when they ran it before. Quote " + call.fingerprint()
                        + " to the operators.",
                refusal.retryAfterMillis());
        log.note(
                "request",
                call.intent.id(),
                "outcome",
                refusal.outcome(),
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "fingerprint",
                call.fingerprint());
    }

    private static void refuse(CallerExchange exchange, String text, long retryAfterMillis) {
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.RETRY_AFTER, String.valueOf(retryAfterMillis / 1_000.0))
                .put(HttpHeader.CONTENT_TYPE, "text/plain");
        exchange.answer(UNAVAILABLE, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Answers with a status and a line of text of our own. */
    void plainly(CallerExchange exchange, int status, String text) {
        HttpFields headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain");
        exchange.answer(status, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpFields passedHeaders(HttpFields headers) {
        HttpFields.Mutable passed = HttpFields.build();
        headers.forEach(field -> {
            if (!HopHeaders.contains(field)) {
                passed.add(field);
            }
        });
        return passed;
    }
}
