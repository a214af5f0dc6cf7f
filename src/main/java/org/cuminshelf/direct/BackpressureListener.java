package org.cuminshelf.direct;

import java.time.Duration;
import java.util.OptionalDouble;
import org.cuminshelf.backpressure.AdvertisedLimit;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.backpressure.BackpressureSignals;
import org.cuminshelf.backpressure.UpstreamRateLimits;
import org.cuminshelf.core.Address;

/** Applies the backpressure signals in responses and in other entries' reports, and logs what changes. */
final class BackpressureListener {

    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private final Backpressure backpressure;
    private final UpstreamTable upstreams;
    private final DecisionLog log;

    BackpressureListener(Backpressure backpressure, UpstreamTable upstreams, DecisionLog log) {
        this.backpressure = backpressure;
        this.upstreams = upstreams;
        this.log = log;
    }

    /**
     * Applies the signals in the head of a response.
     *
     * @param now         when it arrived, in nanoseconds
     * @param upstream    the instance that the request was sent to
     * @param sentAtNanos when the request was sent, in nanoseconds
     * @param requestId   id of the request
     * @param status      status of the response
     * @param metadata    the parsed head
     */
    void onResponseHead(
            long now,
            UpstreamInstance upstream,
            long sentAtNanos,
            String requestId,
            int status,
            ResponseMetadata metadata) {
        if (metadata.isFromOtherUpstream(upstream.name)) {
            return;
        }
        BackpressureSignals signals = metadata.backpressure();
        if (signals.leaving()) {
            upstreams.markDraining(now, upstream.id, true, requestId);
        }
        signals.backoff().ifPresent(backoff -> applyBackoff(now, upstream, requestId, backoff));
        // A missing limit or backoff counts as lifted only in a success that belongs to this very request.
        boolean conclusive = status < FIRST_NON_SUCCESS_STATUS
                && metadata.requestId().filter(id -> !id.equals(requestId)).isEmpty();
        if (conclusive) {
            backpressure.backoffs().onAnswer(upstream.id, sentAtNanos);
        }
        if (conclusive || !(signals.limit() instanceof AdvertisedLimit.Unlimited)) {
            applyLimit(now, upstream, sentAtNanos, requestId, signals.limit());
        }
    }

    private void applyLimit(
            long now, UpstreamInstance upstream, long sentAtNanos, String requestId, AdvertisedLimit limit) {
        if (limit instanceof AdvertisedLimit.Malformed(String text)) {
            log.note("upstream", upstream.id, "outcome", "limit-unreadable", "stated", text, "request", requestId);
        }
        backpressure
                .limits()
                .onAnswer(now, upstream.id, upstream.service, sentAtNanos, limit)
                .ifPresent(change -> logChange(upstream, change, "request", requestId));
    }

    private void applyBackoff(long now, UpstreamInstance upstream, String requestId, Duration backoff) {
        backpressure.backoffs().onBackoffRequested(now, upstream.id, backoff);
        log.note("upstream", upstream.id, "outcome", "rest-asked", "ms", backoff.toMillis(), "request", requestId);
    }

    /** Applies a limit that another entry received from an upstream. */
    void onEntryReport(long now, UpstreamInstance upstream, Address entry, UpstreamRateLimits.LimitReport reported) {
        backpressure
                .limits()
                .onRemoteReport(now, upstream.service, reported)
                .ifPresent(change -> logChange(upstream, change, "told-by", entry));
    }

    private void logChange(
            UpstreamInstance upstream, UpstreamRateLimits.LimitChange change, String source, Object from) {
        log.note(
                "upstream",
                upstream.id,
                "outcome",
                change.after().isPresent() ? "limit-stated" : "limit-lifted",
                "per-second",
                format(change.after()),
                "before",
                format(change.before()),
                source,
                from);
    }

    private static String format(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }
}
