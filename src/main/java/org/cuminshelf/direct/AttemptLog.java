package org.cuminshelf.direct;

import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/** Logs the outcomes of attempts, and what is known here of an upstream's condition. */
final class AttemptLog {

    private final DecisionLog log;

    AttemptLog(DecisionLog log) {
        this.log = log;
    }

    /** Logs a connection that failed before the response was complete. */
    void noteBroken(long now, DirectAttempt attempt, boolean requestSent, String reason) {
        log.note(
                "attempt",
                attempt.call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "version",
                attempt.upstream.version,
                "sent",
                requestSent,
                "outcome",
                "broken",
                "reason",
                reason,
                "ms",
                Durations.millis(now - attempt.sentAtNanos),
                "run-ms",
                attempt.firstEventAtNanos == Core.NEVER ? "none" : Durations.millis(now - attempt.firstEventAtNanos),
                "fingerprint",
                requestSent ? attempt.call.fingerprint() : "none",
                "route",
                attempt.call.route.name(),
                "segments",
                attempt.call.sharedSegmentsForLog());
    }

    /** Logs a stream whose response ended, as far as its framing tells, in the middle of an event. */
    void noteUnfinishedEvent(long now, DirectAttempt attempt) {
        log.note(
                "attempt",
                attempt.call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "ended-inside-event",
                "framing",
                attempt.framing(),
                "pending-bytes",
                attempt.eventSplitter.pendingBytes(),
                "events",
                attempt.call.deliveredEvents,
                "resumable",
                attempt.call.isRetryable(),
                "ms",
                Durations.millis(now - attempt.sentAtNanos));
    }

    /** Logs that a stream of which the caller has a part goes on with an attempt, and at which software version. */
    void noteContinuation(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        String version = attempt.upstream.version;
        log.note(
                "attempt",
                call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                call.origin
                        .map(origin -> origin.version().equals(version) ? "continued" : "continued-at-other-version")
                        .orElse("continued-from-unknown-version"),
                "version",
                version,
                "began-at",
                call.origin.map(StreamOrigin::version).orElse("unknown"),
                "known-by",
                call.origin.map(origin -> origin.source().label()).orElse("none"),
                "age-ms",
                call.origin
                        .<Object>map(origin -> Durations.millis(now - origin.sinceNanos()))
                        .orElse("none"),
                "resumes",
                call.intent.resumedRequest().orElse("none"),
                "after-event",
                call.lastEventId.getAsLong());
    }

    /** Logs that an attempt makes no progress and another upstream is sent a replacement. */
    void noteSilent(long now, DirectAttempt attempt, long silentNanos, UpstreamInstance replacement) {
        log.note(
                "attempt",
                attempt.call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "silent",
                "replacement",
                replacement.id,
                "quiet-ms",
                Durations.millis(silentNanos),
                "upstream-quiet-ms",
                quietMillis(now, attempt.upstream),
                "upstream-state",
                state(now, attempt.upstream),
                "events",
                attempt.call.deliveredEvents);
    }

    /** Logs an attempt that was cancelled. */
    void noteCancelled(long now, DirectAttempt attempt, String reason) {
        log.note(
                "attempt",
                attempt.call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "cancelled",
                "reason",
                reason,
                "quiet-ms",
                Durations.millis(now - attempt.lastProgressAtNanos),
                "ms",
                Durations.millis(now - attempt.sentAtNanos));
    }

    /** Logs that an attempt without progress goes on, once for each reason. */
    void noteKept(long now, DirectAttempt attempt, long silentNanos, String reason) {
        attempt.call.noRetryReason = reason;
        if (!attempt.keptReasons.add(reason)) {
            return;
        }
        log.note(
                "attempt",
                attempt.call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "kept",
                "reason",
                reason,
                "quiet-ms",
                Durations.millis(silentNanos),
                "upstream-quiet-ms",
                quietMillis(now, attempt.upstream),
                "upstream-state",
                state(now, attempt.upstream),
                "attempts",
                attempt.call.attemptCount,
                "events",
                attempt.call.deliveredEvents);
    }

    /** Returns the milliseconds since an upstream last sent anything to this entry, or {@code never}. */
    static Object quietMillis(long now, UpstreamInstance upstream) {
        return upstream.hasResponded() ? Durations.millis(now - upstream.lastResponseAtNanos) : "never";
    }

    /** Returns an upstream's condition as it is known here. */
    static String state(long now, UpstreamInstance upstream) {
        if (upstream.draining) {
            return "draining";
        }
        if (upstream.unlistedSinceNanos != Core.NEVER) {
            return "unlisted";
        }
        if (upstream.isAvoided(now)) {
            return "avoided";
        }
        return upstream.outlier ? "outlier" : "listed";
    }
}
