package org.cuminshelf.direct;

import java.io.ByteArrayOutputStream;
import org.cuminshelf.core.Core;
import org.cuminshelf.exchange.UpstreamExchange;
import org.eclipse.jetty.http.HttpFields;

/** One request sent to one upstream. */
final class AttemptRow {

    final long number;
    final CallRow call;
    final UpstreamRow upstream;
    /** Whether only the prompt is to be taken in. */
    final boolean prefillOnly;

    final PromptEstimate estimate;
    /** Streams that ran there when it was sent. */
    final int streams;

    final long sentAt;
    final EventSplitter events = new EventSplitter();
    final ByteArrayOutputStream body = new ByteArrayOutputStream();

    UpstreamExchange exchange;
    int status;
    HttpFields headers = HttpFields.EMPTY;
    AnswerFacts facts;
    boolean ended;
    /** Whether it went on from a KV cache that another engine made. */
    final boolean hadCache;

    /** Whether the upstream showed no sign yet that the prompt was taken in. */
    boolean promptWaits;

    long lastProgressAt;

    /** When its upstream showed the first event of its run; {@link Core#NEVER} until then. */
    long firstEventAt = Core.NEVER;

    AttemptRow(long number, CallRow call, UpstreamSelector.Choice choice, long now) {
        this.number = number;
        this.call = call;
        this.upstream = choice.upstream();
        this.prefillOnly = choice.prefillOnly();
        this.estimate = choice.estimate();
        this.streams = upstream.occupancy();
        this.hadCache = !prefillOnly && call.cache.isPresent();
        this.sentAt = now;
        this.lastProgressAt = now;
    }

    /** Tokens that it takes in the engine's memory once it is done. */
    int tokens() {
        return call.intent
                .generation()
                .map(shape -> shape.promptTokens() + shape.outputTokens())
                .orElse(0);
    }

    boolean hasHead() {
        return facts != null;
    }

    /** Whether the answer so far is that of a run that succeeded. */
    boolean isSuccess() {
        int firstFailure = 300;
        return hasHead() && status < firstFailure && facts.authentic();
    }
}
