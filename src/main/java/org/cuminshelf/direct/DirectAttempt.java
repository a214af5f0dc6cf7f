package org.cuminshelf.direct;

import java.io.ByteArrayOutputStream;
import org.cuminshelf.core.Core;
import org.cuminshelf.exchange.UpstreamExchange;
import org.eclipse.jetty.http.HttpFields;

/** One request sent to one upstream. */
final class DirectAttempt {

    final long number;
    final DirectCall call;
    final UpstreamInstance upstream;
    /** Whether only the prompt is to be taken in. */
    final boolean prefillOnly;

    final PromptEstimate estimate;
    /** Streams that ran there when it was sent. */
    final int streamsAtSend;

    final long sentAtNanos;
    final EventSplitter eventSplitter = new EventSplitter();
    final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();

    UpstreamExchange exchange;
    int status;
    HttpFields headers = HttpFields.EMPTY;
    ResponseMetadata metadata;
    boolean ended;
    /** Whether it went on from a KV cache that another engine made. */
    final boolean usedKvCache;

    /** Whether the upstream showed no sign yet that the prompt was taken in. */
    boolean promptPending;

    long lastProgressAtNanos;

    /** When its upstream showed the first event of its run; {@link Core#NEVER} until then. */
    long firstEventAtNanos = Core.NEVER;

    DirectAttempt(long number, DirectCall call, UpstreamSelector.Choice choice, long now) {
        this.number = number;
        this.call = call;
        this.upstream = choice.upstream();
        this.prefillOnly = choice.prefillOnly();
        this.estimate = choice.estimate();
        this.streamsAtSend = upstream.totalAttempts();
        this.usedKvCache = !prefillOnly && call.kvCache.isPresent();
        this.sentAtNanos = now;
        this.lastProgressAtNanos = now;
    }

    /** Tokens that it takes in the engine's memory once it is done. */
    int memoryTokens() {
        return call.intent
                .generation()
                .map(shape -> shape.promptTokens() + shape.outputTokens())
                .orElse(0);
    }

    boolean hasHead() {
        return metadata != null;
    }

    /** Whether the answer so far is that of a run that succeeded. */
    boolean isSuccess() {
        int firstNonSuccessStatus = 300;
        return hasHead() && status < firstNonSuccessStatus && metadata.authentic();
    }
}
