package org.cuminshelf.direct;

import java.time.Duration;
import java.util.OptionalDouble;
import org.cuminshelf.backpressure.AdvertisedLimit;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.backpressure.BackpressureSignals;
import org.cuminshelf.backpressure.UpstreamRateLimits;
import org.cuminshelf.core.Address;

/** Hears what answers, and other entries, say of what upstreams ask for, and notes what changed. */
final class DemandWatch {

    private static final int FIRST_FAILURE = 300;

    private final Backpressure backpressure;
    private final UpstreamTable upstreams;
    private final DecisionLog log;

    DemandWatch(Backpressure backpressure, UpstreamTable upstreams, DecisionLog log) {
        this.backpressure = backpressure;
        this.upstreams = upstreams;
        this.log = log;
    }

    /**
     * Takes the head of an answer.
     *
     * @param now      when it came, in nanoseconds
     * @param upstream the upstream to which the request was sent
     * @param sentAt   when the request was sent, in nanoseconds
     * @param request  the request's id
     * @param status   the status of the answer
     * @param facts    what the head says
     */
    void onHead(long now, UpstreamRow upstream, long sentAt, String request, int status, AnswerFacts facts) {
        if (facts.isOtherThan(upstream.name)) {
            return;
        }
        BackpressureSignals demands = facts.demands();
        if (demands.leaving()) {
            upstreams.leaves(now, upstream.id, true, request);
        }
        demands.backoff().ifPresent(rest -> hearRest(now, upstream, request, rest));
        // Neither a failure nor the answer to an earlier request shows the end of a need by what it leaves out.
        boolean conclusive = status < FIRST_FAILURE
                && facts.requestId().filter(id -> !id.equals(request)).isEmpty();
        if (conclusive) {
            backpressure.backoffs().onAnswer(upstream.id, sentAt);
        }
        if (conclusive || !(demands.limit() instanceof AdvertisedLimit.Unlimited)) {
            hearLimit(now, upstream, sentAt, request, demands.limit());
        }
    }

    private void hearLimit(long now, UpstreamRow upstream, long sentAt, String request, AdvertisedLimit limit) {
        if (limit instanceof AdvertisedLimit.Malformed(String text)) {
            log.note("upstream", upstream.id, "outcome", "limit-unreadable", "stated", text, "request", request);
        }
        backpressure
                .limits()
                .onAnswer(now, upstream.id, upstream.service, sentAt, limit)
                .ifPresent(change -> note(upstream, change, "request", request));
    }

    private void hearRest(long now, UpstreamRow upstream, String request, Duration rest) {
        backpressure.backoffs().onBackoffRequested(now, upstream.id, rest);
        log.note("upstream", upstream.id, "outcome", "rest-asked", "ms", rest.toMillis(), "request", request);
    }

    /** Takes what another entry heard from an upstream. */
    void told(long now, UpstreamRow upstream, Address entry, UpstreamRateLimits.LimitReport heard) {
        backpressure
                .limits()
                .onRemoteReport(now, upstream.service, heard)
                .ifPresent(change -> note(upstream, change, "told-by", entry));
    }

    private void note(UpstreamRow upstream, UpstreamRateLimits.LimitChange change, String source, Object from) {
        log.note(
                "upstream",
                upstream.id,
                "outcome",
                change.after().isPresent() ? "limit-stated" : "limit-lifted",
                "per-second",
                text(change.after()),
                "before",
                text(change.before()),
                source,
                from);
    }

    private static String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }
}
