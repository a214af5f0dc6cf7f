package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cuminshelf.engines.PromptQueue;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.AttributeKind;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.RequestAttribute;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.shares.ShareClaim;
import org.cuminshelf.shares.Standing;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpHeader;

/**
 * A request of a caller, from its arrival to its final response. Times are those of the entry's monotonic clock, in
 * nanoseconds.
 */
final class DirectCall {

    /** Segments of a prompt that a line of the log names; prompts may have any number. */
    private static final int MAX_LOGGED_SEGMENTS = 6;
    /** Segments of a prompt, from its start, under which crashes are counted; prompts may have any number. */
    private static final int MAX_COUNTED_SEGMENTS = 16;
    /** Least urgent priority that engines know. */
    private static final int MAX_QUEUE_PRIORITY = 9;

    /** Identifies the call within this process; unlike the request id it is unique. */
    final long number;

    final ReceivedRequest request;
    final CallerExchange exchange;
    final CallIntent intent;
    final Route route;
    final String service;
    /** The organisation that the request is attributed to, if any. */
    final Optional<Organisation> organisation;

    final long arrivedAtNanos;
    /** The caller's own deadline or the end of the route's timeout, whichever is earlier. */
    final long deadlineNanos;

    /** Ids of the upstream instances that are not tried again. */
    final Set<String> excludedUpstreams = new HashSet<>();
    /** Attempts so far, without prefills; the route limits them. */
    int attemptCount;

    /** The attempts that have not ended, in the order in which they were sent: more than one if a request is hedged. */
    final List<DirectAttempt> openAttempts = new ArrayList<>();

    /** What it has sent to upstreams, and the retries that it holds. */
    final CallArrivals arrivals = new CallArrivals();

    /** Attempts that failed before their request was sent. */
    int unsentAttempts;

    /** The latest attempt, running or ended; {@code null} before the first. */
    DirectAttempt lastAttempt;
    /** The KV cache of its prompt at the engine that prefilled it, until another engine has fetched it. */
    Optional<KvCacheHandle> kvCache = Optional.empty();

    /** Id of the rate limited upstream instance that has a permit reserved for this call, until the call is sent. */
    Optional<String> reservedPermit = Optional.empty();

    /** Number of engines that failed to continue from the KV cache. */
    int failedHandovers;

    /** Whether one engine must do both prefill and decode, because a separate prefill has failed. */
    boolean singleEngineOnly;

    /** Whether an earlier attempt may have run. */
    boolean mayHaveRun;

    /** Whether a streamed response to the caller has started. */
    boolean responseStarted;

    /** Id of the last event sent to the caller, or that the caller stated to have. */
    OptionalLong lastEventId;

    /** The software version that began the stream, once it is known. */
    Optional<StreamOrigin> origin = Optional.empty();

    /** Whether it is placed at an upstream without a free slot too, as its wait for one is over. */
    boolean takesFullUpstream;

    /** Number of events sent to the caller. */
    int deliveredEvents;
    /** Estimated milliseconds to the first event when the first attempt was placed. */
    double estimatedFirstEventMillis;

    /** The part of that estimate spent in the engine's prompt queue, in milliseconds. */
    double estimatedQueueMillis;

    /** Duration of the separate prefill in milliseconds, including its wait; 0 if there was none. */
    long prefillMillis;

    long responseStartedAtNanos;
    long lastEventAtNanos;
    /** Longest gap between two events so far, in nanoseconds. */
    long longestGapNanos;

    /** Its claim on the share of its size group, if it is a generation. */
    Optional<SizeFairness.Claim> fairnessClaim = Optional.empty();

    /** Its part in the shares of its kind and organisation. */
    Optional<ShareClaim> shareClaim = Optional.empty();

    /** The engine time that it needs, reported to control for planning, if it is a generation. */
    Optional<OfferedLoad> offeredLoad = Optional.empty();

    /** Ids of the upstreams that it was sent to, in order. */
    final List<String> sentTo = new ArrayList<>();

    /** Whether it has waited for a slot as a plain call. */
    boolean waitedForSlot;

    /** Why the last failed or silent attempt was not followed by another; {@code none} if it was. */
    String noRetryReason = "none";

    /** Verdict of the last failed attempt or rejected placement. */
    Optional<Verdict> lastFailure = Optional.empty();
    /** Whether it was counted in the usage of its organisation. */
    boolean usageCounted;

    /** Whether its caller was found to have left. */
    boolean callerLeft;

    /** Whether its final response was sent or its caller has disconnected. */
    boolean closed;

    /**
     * Whether it was let through, although an attribute of it is suspected or quarantined, to show whether upstreams
     * crash for it; such a call is not retried.
     */
    boolean attributeTrial;

    private Fingerprint fingerprint;
    private List<RequestAttribute> sharedAttributes;

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

    /** When the first byte of its request was read. */
    long begunAtNanos() {
        return arrivedAtNanos - request.readingNanos();
    }

    /** The hash that identifies copies of the same request; computed on first use, as few calls need it. */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            String host =
                    Optional.ofNullable(request.headers().get(HttpHeader.HOST)).orElse("");
            fingerprint = Fingerprint.of(request.method(), host, request.target(), callerIdentity(), request.body());
        }
        return fingerprint;
    }

    /**
     * The attributes that it shares with other requests of its service and that may be what crashes upstreams; computed
     * on first use, as few calls need them.
     */
    List<RequestAttribute> sharedAttributes() {
        if (sharedAttributes == null) {
            sharedAttributes = intent.generation()
                    .map(this::generationAttributes)
                    .orElseGet(Stream::empty)
                    .collect(Collectors.toCollection(ArrayList::new));
            if (!callerIdentity().isEmpty()) {
                sharedAttributes.add(attribute(AttributeKind.CALLER, callerIdentity()));
            }
            sharedAttributes.add(attribute(AttributeKind.ROUTE, route.name()));
        }
        return sharedAttributes;
    }

    private Stream<RequestAttribute> generationAttributes(GenerationShape shape) {
        Stream<RequestAttribute> segments = shape.sharedSegments().stream()
                .limit(MAX_COUNTED_SEGMENTS)
                .map(segment -> shape.model().isEmpty() ? segment.id() : segment.id() + " of model " + shape.model())
                .distinct()
                .map(name -> attribute(AttributeKind.PROMPT_SEGMENT, name));
        Stream<RequestAttribute> model = Stream.of(shape.model())
                .filter(name -> !name.isEmpty())
                .map(name -> attribute(AttributeKind.MODEL, name));
        return Stream.concat(segments, model);
    }

    private RequestAttribute attribute(AttributeKind kind, String name) {
        return RequestAttribute.shared(kind, service, name);
    }

    /** The request itself and the attributes that it shares with others. */
    List<RequestAttribute> attributes() {
        List<RequestAttribute> attributes = new ArrayList<>();
        attributes.add(RequestAttribute.request(fingerprint()));
        attributes.addAll(sharedAttributes());
        return attributes;
    }

    /** The organisation's name for the log, or {@code none}. */
    String organisationName() {
        return organisation.map(Organisation::name).orElse("none");
    }

    /**
     * A stable identity of the caller: the organisation, as its keys change, or else the digest of the key; empty if
     * there is neither.
     */
    private String callerIdentity() {
        return organisation
                .map(Organisation::name)
                .or(() -> intent.keys().single().map(ApiKeyDigest::hex))
                .orElse("");
    }

    /** Its priority, 0 being the highest: that of its organisation, or else that of its route. */
    int priority() {
        return organisation
                .map(Organisation::priority)
                .orElseGet(OptionalInt::empty)
                .orElse(route.priority());
    }

    /** Its priority in an engine's queue, 0 being the first; routes of middle priority are at the engine's default. */
    int queuePriority() {
        return Math.clamp(PromptQueue.DEFAULT_PRIORITY - 2 + priority(), 0, MAX_QUEUE_PRIORITY);
    }

    /** What the shares of its kind and organisation mean for it, as of its last decision. */
    Standing standing() {
        return shareClaim.map(ShareClaim::standing).orElse(new Standing.Neutral(1));
    }

    boolean isStream() {
        return route.kind() == RequestKind.STREAM;
    }

    /** Whether it is a stream of which its caller holds events, of this entry or of another. */
    boolean isBegun() {
        return isStream() && origin.isPresent();
    }

    /** Whether it is neither a stream nor a generation, so that its work does not depend on a prompt. */
    boolean isPlain() {
        return !isStream() && intent.generation().isEmpty();
    }

    /**
     * Whether an upstream of a software version may go on with it: what two versions write, events or KV caches, does
     * not fit together.
     */
    boolean acceptsVersion(String version) {
        return origin.map(StreamOrigin::version)
                .or(() -> kvCache.map(KvCacheHandle::version))
                .map(version::equals)
                .orElse(true);
    }

    /** Tokens of its prompt; 0 if it is not a generation. */
    int promptTokens() {
        return intent.generation().map(GenerationShape::promptTokens).orElse(0);
    }

    /** Ids of the first segments of its prompt that other requests may share, for the log; {@code none} without any. */
    String sharedSegmentsForLog() {
        String ids = intent.generation().stream()
                .flatMap(shape -> shape.sharedSegments().stream())
                .limit(MAX_LOGGED_SEGMENTS)
                .map(PromptSegment::id)
                .collect(Collectors.joining(","));
        return ids.isEmpty() ? "none" : ids;
    }

    boolean hasOpenAttempt() {
        return !openAttempts.isEmpty();
    }

    /** Whether it may be cancelled or run again without harm. */
    boolean isRetryable() {
        return route.isRepeatable();
    }
}
