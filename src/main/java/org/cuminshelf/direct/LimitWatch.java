package org.cuminshelf.direct;

import java.util.OptionalDouble;
import org.cuminshelf.backpressure.RateLimits;
import org.cuminshelf.backpressure.StatedLimit;
import org.cuminshelf.core.Address;

/** Hears what answers, and other entries, say of upstreams' limits, and notes what changed. */
final class LimitWatch {

    private final RateLimits limits;
    private final DecisionLog log;

    LimitWatch(RateLimits limits, DecisionLog log) {
        this.limits = limits;
        this.log = log;
    }

    /**
     * Takes the head of an answer.
     *
     * @param now      when it came, in nanoseconds
     * @param upstream the upstream to which the request was sent
     * @param sentAt   when the request was sent, in nanoseconds
     * @param request  the request's id
     * @param facts    what the head says
     */
    void onHead(long now, UpstreamRow upstream, long sentAt, String request, AnswerFacts facts) {
        if (facts.isOtherThan(upstream.name)) {
            return;
        }
        if (facts.limit() instanceof StatedLimit.Unreadable(String text)) {
            log.note("upstream", upstream.id, "outcome", "limit-unreadable", "stated", text, "request", request);
        }
        boolean another = facts.requestId().filter(id -> !id.equals(request)).isPresent();
        if (another && facts.limit() instanceof StatedLimit.Unlimited) {
            // The answer to an earlier request, which may have been written before the limit was named.
            return;
        }
        limits.heard(now, upstream.id, upstream.service, sentAt, facts.limit())
                .ifPresent(change -> note(upstream, change, "request", request));
    }

    /** Takes what another entry heard from an upstream. */
    void told(long now, UpstreamRow upstream, Address entry, RateLimits.Heard heard) {
        limits.told(now, upstream.service, heard).ifPresent(change -> note(upstream, change, "told-by", entry));
    }

    private void note(UpstreamRow upstream, RateLimits.Change change, String source, Object from) {
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
