package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.TickLateness;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.poison.RequestAttribute;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Writes responses to callers and logs the outcome of each request. The status states what is known: 503 is used only
 * if the request did not run and never will; 502 and 504 mean that it may have run.
 */
final class CallerResponses {

    /** Retry-After of a rejection with no better estimate; long enough for an upstream slot to become free. */
    static final long DEFAULT_RETRY_AFTER_MILLIS = 200;

    /** The same for a stream of unknown version: by then another entry may answer, or one version be left. */
    private static final long UNKNOWN_VERSION_RETRY_AFTER_MILLIS = 500;

    /** Reason of what is refused or ended as this process stops. */
    static final String STOPPING_REASON = "this process stops";

    private static final double PERCENT = 100;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private static final String LEFT_BEFORE_SENT = "left-before-sent";

    private final ControlSubscription control;
    private final DecisionLog log;
    private final TickLateness lateness;

    CallerResponses(ControlSubscription control, DecisionLog log, TickLateness lateness) {
        this.control = control;
        this.log = log;
        this.lateness = lateness;
    }

    /** Sends the head of a streamed response to the caller, unless that has happened already. */
    void startResponse(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (!call.responseStarted) {
            call.responseStarted = true;
            call.responseStartedAtNanos = now;
            call.exchange.beginResponse(attempt.status, endToEndHeaders(attempt.headers));
        }
    }

    /** Forwards a complete upstream response, or the remainder of a successful stream, and logs the outcome. */
    void forwardResponse(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (call.isStream() && attempt.isSuccess()) {
            startResponse(now, attempt);
            call.exchange.writePart(ByteBuffer.wrap(attempt.eventSplitter.remainder()));
            call.exchange.endResponse();
        } else {
            call.responseStartedAtNanos = now;
            call.exchange.respond(
                    attempt.status,
                    endToEndHeaders(attempt.headers),
                    ByteBuffer.wrap(attempt.responseBody.toByteArray()));
        }
        log.noteCompletion(
                call.intent.id(),
                "outcome",
                attempt.status,
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "upstream",
                attempt.upstream.id,
                "version",
                attempt.upstream.version,
                "attempts",
                call.attemptCount,
                "events",
                call.deliveredEvents,
                "tokens",
                call.promptTokens(),
                "segments",
                call.sharedSegmentsForLog(),
                "expected-ms",
                Math.round(call.estimatedFirstEventMillis),
                "wait-ms",
                Math.round(call.estimatedQueueMillis),
                "read-ms",
                call.prefillMillis,
                "way",
                attempt.usedKvCache ? "split" : "whole",
                "framing",
                attempt.framing(),
                "pause-ms",
                Durations.millis(call.longestGapNanos),
                "expected-pause-ms",
                Math.round(attempt.gapForecast.pauseMillis()),
                "engine-factor",
                Math.round(100 * attempt.gapForecast.engineFactor()) / 100.0,
                "first-ms",
                Durations.millis(call.responseStartedAtNanos - call.arrivedAtNanos),
                "standing",
                call.standing().label(),
                "share",
                shareForLog(call),
                "ms",
                Durations.millis(now - call.arrivedAtNanos));
    }

    /**
     * Reports a failed call to its caller: aborts a response that has started; otherwise sends 502 or 504 if the
     * request may have run, and 503 with Retry-After if it did not.
     */
    void reportFailure(long now, DirectCall call, String reason) {
        if (call.responseStarted) {
            call.exchange.abort();
        } else if (call.mayHaveRun) {
            boolean pastDeadline = now >= call.deadlineNanos;
            respond(
                    call.exchange,
                    pastDeadline ? GATEWAY_TIMEOUT : BAD_GATEWAY,
                    "The request may have run: " + reason + ".");
        } else {
            long retryAfterMillis = call.lastFailure
                    .filter(verdict -> verdict instanceof Verdict.NotRun)
                    .map(verdict -> ((Verdict.NotRun) verdict).retryAfterMillis())
                    .filter(millis -> millis > 0)
                    .orElse(DEFAULT_RETRY_AFTER_MILLIS);
            refuse(call.exchange, "The request did not run: " + reason + ".", retryAfterMillis);
        }
        logFailure(now, call, reason);
    }

    private void logFailure(long now, DirectCall call, String reason) {
        DirectAttempt last = call.lastAttempt;
        log.note(
                "request",
                call.intent.id(),
                "outcome",
                call.responseStarted ? "cut" : call.mayHaveRun ? "may-have-run" : "not-run",
                "reason",
                reason,
                "not-retried",
                call.noRetryReason,
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "config",
                control.configVersion(),
                "config-age-ms",
                control.configAgeMillis(now),
                "attempts",
                call.attemptCount,
                "sent-to",
                call.sentTo,
                "events",
                call.deliveredEvents,
                "upstream",
                last == null ? "none" : last.upstream.id,
                "quiet-ms",
                last == null ? 0 : Durations.millis(now - last.lastProgressAtNanos),
                "upstream-quiet-ms",
                last == null ? "none" : AttemptLog.quietMillis(now, last.upstream),
                "upstream-state",
                last == null ? "none" : AttemptLog.state(now, last.upstream),
                "tokens",
                call.promptTokens(),
                "size",
                call.fairnessClaim.map(SizeFairness.Claim::sizeGroup).orElse("none"),
                "owed",
                call.fairnessClaim.filter(SizeFairness.Claim::hasCredit).isPresent(),
                "standing",
                call.standing().label(),
                "share",
                shareForLog(call),
                "expected-ms",
                Math.round(call.estimatedFirstEventMillis),
                "wait-ms",
                Math.round(call.estimatedQueueMillis),
                "retry-after-ms",
                call.lastFailure
                        .filter(verdict -> verdict instanceof Verdict.NotRun)
                        .<Object>map(verdict -> ((Verdict.NotRun) verdict).retryAfterMillis())
                        .orElse("none"),
                "ms",
                Durations.millis(now - call.arrivedAtNanos));
    }

    /** Returns the answered share that the standing of a call is based on, with two decimals. */
    private static double shareForLog(DirectCall call) {
        return Math.round(PERCENT * call.standing().share()) / PERCENT;
    }

    /** Logs that the caller left before its response was complete; the attempts of the call are still open. */
    void logLeft(long now, DirectCall call) {
        log.note(
                "request",
                call.intent.id(),
                "outcome",
                outcomeOfLeft(call),
                "route",
                call.route.name(),
                "organisation",
                call.organisationName(),
                "attempts",
                call.sentTo.size(),
                "since-sent-ms",
                call.lastAttempt == null ? "never" : Durations.millis(now - call.lastAttempt.sentAtNanos),
                "events",
                call.deliveredEvents,
                "late-ms",
                lateness.millis(now),
                "ms",
                Durations.millis(now - call.arrivedAtNanos));
    }

    /** Logs that the caller left before its request was routed. */
    void logLeftUnrouted(long now, CallIntent intent, long arrivedAtNanos) {
        log.note(
                "request",
                intent.id(),
                "outcome",
                LEFT_BEFORE_SENT,
                "route",
                "none",
                "late-ms",
                lateness.millis(now),
                "ms",
                Durations.millis(now - arrivedAtNanos));
    }

    /** Tells what was done for a call whose caller is found to have left. */
    private static String outcomeOfLeft(DirectCall call) {
        if (call.hasOpenAttempt()) {
            return "left-at-work";
        }
        return call.sentTo.isEmpty() ? LEFT_BEFORE_SENT : "left-while-waiting";
    }

    /** Refuses a request that cannot be routed because no configuration has been confirmed yet. */
    void refuseNotReady(CallerExchange exchange, CallIntent intent) {
        log.note("request", intent.id(), "outcome", "not-run", "reason", "no confirmed configuration yet");
        refuse(exchange, "This process has no confirmed configuration yet.", DEFAULT_RETRY_AFTER_MILLIS);
    }

    /** Refuses a stream that its caller takes up again, as the software version that began it is not known here. */
    void refuseUnknownVersion(CallerExchange exchange) {
        refuse(
                exchange,
                "The stream did not go on: it is not known which software version began it.",
                UNKNOWN_VERSION_RETRY_AFTER_MILLIS);
    }

    /** Refuses a request, with Retry-After, whose route or key may be defined in a newer configuration. */
    void refuseOutdated(CallerExchange exchange) {
        refuse(
                exchange,
                "A newer configuration may know this request; it is not in force here yet.",
                DEFAULT_RETRY_AFTER_MILLIS);
    }

    /**
     * Refuses a request under which upstreams crashed. The status is 503, not 4xx, so that a request that is refused by
     * mistake is not lost: a client error would make callers give up for good, even once the request is released.
     */
    void refuse(DirectCall call, PoisonGuard.Refusal refusal) {
        RequestAttribute attribute = refusal.attribute();
        String cause = attribute.isShared()
                ? "upstreams crashed when they ran requests with " + attribute.description()
                : "upstreams crashed when they ran it before";
        boolean quarantined = switch (refusal) {
            case PoisonGuard.Refusal.Quarantined decided -> true;
            case PoisonGuard.Refusal.Settling undecided -> false;
        };
        refuse(
                call.exchange,
                "The request did not run" + (quarantined ? " and is in quarantine: " : ": ") + cause + ". Quote "
                        + attribute.fingerprint() + " to the operators.",
                refusal.retryAfterMillis());
        log.note(
                "request",
                call.intent.id(),
                "outcome",
                quarantined ? "quarantined" : "upstreams-crashed",
                "cause",
                attribute.description(),
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
        exchange.respond(UNAVAILABLE, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends a complete response with a plain text body. */
    void respond(CallerExchange exchange, int status, String text) {
        HttpFields headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain");
        exchange.respond(status, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpFields endToEndHeaders(HttpFields headers) {
        HttpFields.Mutable forwarded = HttpFields.build();
        headers.forEach(field -> {
            if (!HopByHopHeaders.contains(field)) {
                forwarded.add(field);
            }
        });
        return forwarded;
    }
}
