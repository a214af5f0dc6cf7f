package org.cuminshelf.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpHeader;

/** One request of a caller, from its arrival to its one answer. */
final class DirectCall {

    final long number;
    final ReceivedRequest request;
    final CallerExchange exchange;
    final CallIntent intent;
    final Route route;
    final String service;
    /** The organisation in whose name it runs, where there is one. */
    final Optional<Organisation> organisation;

    final long arrivedAtNanos;
    /** When the caller stops waiting or the route's timeout is reached, whichever is first. */
    final long deadlineNanos;

    /** Upstreams that this request is not sent to again. */
    final Set<String> excludedUpstreams = new HashSet<>();
    /** Upstreams to which it was sent, as the route limits them. */
    int attemptCount;

    DirectAttempt lastAttempt;
    /** KV cache taken in for it by another engine, until an engine took it. */
    Optional<KvCacheHandle> kvCache = Optional.empty();

    /** Start of an upstream with a limit of which a permit is kept for it, until it is sent there. */
    Optional<String> reservedPermit = Optional.empty();

    /** Engines that would not go on from the KV cache. */
    int failedHandovers;

    /** Whether one engine is to do the whole of it, as taking the prompt in apart failed. */
    boolean singleEngineOnly;

    /** Whether an earlier attempt may have run. */
    boolean mayHaveRun;

    /** Whether a part of the answer was given to the caller. */
    boolean responseStarted;

    /** The last event given to the caller, or that it said it holds. */
    OptionalLong lastEventId;

    int deliveredEvents;
    /** Milliseconds to the first event that were expected when it was placed. */
    double estimatedFirstEventMillis;

    /** Milliseconds of it that were for the prompts before its own. */
    double estimatedQueueMillis;

    /** Milliseconds that taking the prompt in apart took, its wait included; 0 if it wasn't. */
    long prefillMillis;

    long responseStartedAtNanos;
    long lastEventAtNanos;
    /** Longest pause between two events so far, in nanoseconds. */
    long longestGapNanos;

    /** Its claim to the share of its size, where it is a generation. */
    Optional<SizeFairness.Claim> fairnessClaim = Optional.empty();

    /** What it asks of engines, where it is a generation. */
    Optional<OfferedLoad> offeredLoad = Optional.empty();

    Optional<Verdict> lastFailure = Optional.empty();
    /** Whether it was counted for the usage of its organisation. */
    boolean usageCounted;

    boolean closed;
    private Fingerprint fingerprint;

    DirectCall(
            long number,
            ReceivedRequest request,
            CallerExchange exchange,
            CallIntent intent,
            Route route,
            String service,
            Optional<Organisation> organisation,
            long now,
            long deadlineNanos) {
        this.number = number;
        this.request = request;
        this.exchange = exchange;
        this.intent = intent;
        this.route = route;
        this.service = service;
        this.organisation = organisation;
        this.arrivedAtNanos = now;
        this.deadlineNanos = deadlineNanos;
        this.lastEventId = intent.resumeAfter();
    }

    /** What makes it the same request when it comes again; computed when first asked for, as few calls need it. */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            String host =
                    Optional.ofNullable(request.headers().get(HttpHeader.HOST)).orElse("");
            fingerprint = Fingerprint.of(request.method(), host, request.target(), callerIdentity(), request.body());
        }
        return fingerprint;
    }

    /** The name of its organisation for logs, {@code none} without one. */
    String organisationName() {
        return organisation.map(Organisation::name).orElse("none");
    }

    /** Names who asks, the same each time: the organisation, as its keys change, or the key; empty without either. */
    private String callerIdentity() {
        return organisation
                .map(Organisation::name)
                .or(() -> intent.keys().single().map(ApiKeyDigest::hex))
                .orElse("");
    }

    /** Its rank, 0 first: that of its organisation goes before that of its route. */
    int priority() {
        return organisation
                .map(Organisation::priority)
                .orElseGet(OptionalInt::empty)
                .orElse(route.priority());
    }

    boolean isStream() {
        return route.kind() == RequestKind.STREAM;
    }

    /** Tokens of its prompt, 0 where it is no generation. */
    int promptTokens() {
        return intent.generation().map(GenerationShape::promptTokens).orElse(0);
    }

    /** Whether work on it may be stopped, or started anew, without harm. */
    boolean isRetryable() {
        return route.isRepeatable();
    }
}
