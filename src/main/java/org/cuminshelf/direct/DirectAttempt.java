package org.cuminshelf.direct;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.core.Core;
import org.cuminshelf.exchange.UpstreamExchange;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** One attempt to run a call, or only its prefill, on an upstream. Times are monotonic nanoseconds. */
final class DirectAttempt {

    private static final String EVENT_STREAM_TYPE = "text/event-stream";
    private static final String UNFRAMED = "none";

    final long number;
    final DirectCall call;
    final UpstreamInstance upstream;
    /** Whether the attempt only prefills the prompt, for another engine to decode. */
    final boolean prefillOnly;

    final PromptEstimate estimate;
    /** Attempts of all entries on the upstream when this one was sent. */
    final int streamsAtSend;

    final long sentAtNanos;
    final EventSplitter eventSplitter = new EventSplitter();
    final ResponseBody responseBody = new ResponseBody();

    UpstreamExchange exchange;
    int status;
    HttpFields headers = HttpFields.EMPTY;
    /** {@code null} until the head of the response arrives. */
    ResponseMetadata metadata;

    boolean ended;
    /** Whether the upstream was given a KV cache that another engine prefilled. */
    final boolean usedKvCache;

    /** Whether it is the first prefill of its call, and none of its outcomes has made it an arrival. */
    boolean firstPrefill;

    /** The retry of the budget that it took, if it is an arrival after the first of its call. */
    Optional<RetryGrant> grant = Optional.empty();

    /** Whether the prompt is still in the estimated prompt queue of the upstream. */
    boolean promptPending;

    long lastProgressAtNanos;
    /** The same by the {@link WatchedClock}. */
    private long lastProgressWatchedNanos;

    /** Whether it has made no progress for too long. */
    boolean foundSilent;

    /** Reasons logged so far for which the attempt went on while silent. */
    final Set<String> keptReasons = new HashSet<>();

    /** When the first event arrived; {@link Core#NEVER} until then. */
    long firstEventAtNanos = Core.NEVER;

    /** When its last event arrived; {@link Core#NEVER} until the first. */
    long lastEventAtNanos = Core.NEVER;

    /** Milliseconds of prefill at the upstream until its last event, see {@link EventWaits}. */
    double prefillMillisAtLastEvent;

    /** The gaps between its events that were expected when it was sent. */
    final GapForecast gapForecast;

    /** Whether an event of it was delivered to the caller. */
    boolean delivered;

    /** The attempt that was sent beside this one as it was silent; {@code null} if there is none. */
    DirectAttempt replacement;

    DirectAttempt(
            long number,
            DirectCall call,
            UpstreamSelector.Choice choice,
            Optional<KvCacheHandle> kvCache,
            long now,
            long watchedNow) {
        this.number = number;
        this.call = call;
        this.upstream = choice.upstream();
        this.prefillOnly = choice.prefillOnly();
        this.estimate = choice.estimate();
        this.gapForecast = choice.gaps();
        this.streamsAtSend = upstream.totalAttempts();
        this.usedKvCache = !prefillOnly && kvCache.isPresent();
        this.sentAtNanos = now;
        recordProgress(now, watchedNow);
    }

    /** Records that it was sent, or that a part of the response arrived. */
    void recordProgress(long now, long watchedNow) {
        lastProgressAtNanos = now;
        lastProgressWatchedNanos = watchedNow;
    }

    /** Returns for how long nothing arrived while this process looked, in nanoseconds. */
    long silentNanos(long watchedNow) {
        return watchedNow - lastProgressWatchedNanos;
    }

    /** Tokens that the finished request occupies in the engine's KV memory; 0 if it is not a generation. */
    int memoryTokens() {
        return call.intent
                .generation()
                .map(shape -> shape.promptTokens() + shape.outputTokens())
                .orElse(0);
    }

    /** Whether a replacement is open that takes over if this attempt does not go on soon. */
    boolean hasOpenReplacement() {
        return replacement != null && !replacement.ended;
    }

    boolean hasHead() {
        return metadata != null;
    }

    /**
     * Whether a response whose end was received is a stream that its upstream broke off: it ends inside an event, or it
     * has no event and only the end of its connection says that it is whole.
     */
    boolean isBrokenOff() {
        if (!isEventStream()) {
            return false;
        }
        // A stream that is resumed after its last event has no further one.
        boolean withoutEvent = firstEventAtNanos == Core.NEVER
                && call.lastEventId.isEmpty()
                && framing().equals(UNFRAMED);
        return withoutEvent || eventSplitter.pendingBytes() > 0;
    }

    /** Whether the response is a successful stream of events; one that states no type is taken for such a stream. */
    boolean isEventStream() {
        boolean otherType = Optional.ofNullable(headers.get(HttpHeader.CONTENT_TYPE))
                .filter(type -> !type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM_TYPE))
                .isPresent();
        return call.isStream() && !prefillOnly && isSuccess() && hasBody() && !otherType;
    }

    /** Whether the response has a body; one without ends with its head. */
    private boolean hasBody() {
        return status != HttpStatus.NO_CONTENT_204 && !HttpMethod.HEAD.is(call.request.method());
    }

    /** Whether only the end of its connection says that a successful response is whole. */
    boolean endsWithConnection() {
        return !prefillOnly && isSuccess() && hasBody() && framing().equals(UNFRAMED);
    }

    /** How the response states its length, for the log. */
    String framing() {
        if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
            return "chunks";
        }
        return statesLength() ? "length" : UNFRAMED;
    }

    /** Whether the head of the response states how long its body is. */
    boolean statesLength() {
        return headers.contains(HttpHeader.CONTENT_LENGTH) && !headers.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /** Whether any byte of its request may have reached the upstream. */
    boolean isSent() {
        return exchange != null && exchange.isSent();
    }

    /** Whether the head of the response reports success and is authentic. */
    boolean isSuccess() {
        int firstNonSuccessStatus = 300;
        return hasHead() && status < firstNonSuccessStatus && metadata.authentic();
    }
}
