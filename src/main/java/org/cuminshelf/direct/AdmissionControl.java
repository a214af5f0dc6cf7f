package org.cuminshelf.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Cause;
import org.cuminshelf.poison.HoldBack;
import org.cuminshelf.shares.Standing;
import org.cuminshelf.verdict.Verdict;

/** Decides whether a call is sent to an upstream now, waits in the admission queue or is refused. */
final class AdmissionControl {

    /** The outcome of the decision on a call. */
    sealed interface Decision {

        /** The call is sent to the selected upstream. */
        record Send(UpstreamSelector.Choice choice) implements Decision {}

        /** The call waits in the admission queue and is decided again later. */
        record Wait() implements Decision {}

        /**
         * The call is refused.
         *
         * @param verdict the verdict returned to the caller
         * @param reason  the reason, for the log
         */
        record Refuse(Verdict.NotRun verdict, String reason) implements Decision {}
    }

    /**
     * Prefill backlog of an engine up to which a prompt is queued at the engine rather than here: short compared with
     * the latency targets, and long enough that no engine becomes idle before the next calls are tried.
     */
    private static final double MAX_ENGINE_QUEUE_MILLIS = 100;
    /** Milliseconds to the first event of a usual prompt, used if no engine is available for an estimate. */
    private static final double USUAL_FIRST_EVENT_MILLIS = 50;
    /**
     * Time after which a caller retries if all slots are in use: streams end after some 2 s, so half of them have ended
     * by then.
     */
    private static final long NO_SLOT_RETRY_AFTER_MILLIS = 1_000;

    /** The same if no upstream of the stream's software version serves; one that restarts is back in some seconds. */
    private static final long NO_VERSION_RETRY_AFTER_MILLIS = 1_000;

    /** Interval over which the retries of calls are spread that were refused because of rate limits or backoffs. */
    private static final int RETRY_SPREAD_MILLIS = 1_000;

    /** Time for which a call waits for upstreams on which no attempt of it has failed. */
    private static final long MAX_WAIT_FOR_OTHERS_NANOS = Durations.nanos(100);

    /** Reason of a refusal for the sake of more urgent calls. */
    static final String YIELDS_REASON = "yields-to-more-urgent";

    private static final Decision WAIT = new Decision.Wait();

    private final UpstreamSelector selector;
    private final ControlSubscription control;
    private final PoisonGuard poisonGuard;
    private final AdmissionQueue admissionQueue;
    private final PlainCallAdmission plainCalls;
    private long sentForShare;

    AdmissionControl(
            UpstreamSelector selector,
            ControlSubscription control,
            PoisonGuard poisonGuard,
            AdmissionQueue admissionQueue) {
        this.selector = selector;
        this.control = control;
        this.poisonGuard = poisonGuard;
        this.admissionQueue = admissionQueue;
        this.plainCalls = new PlainCallAdmission(selector, control, admissionQueue);
    }

    Decision decide(long now, DirectCall call) {
        if (wouldBeLost(call) && !poisonGuard.mayRetry(call)) {
            // More upstreams have crashed under its request while it was waiting.
            Verdict.NotRun verdict = new Verdict.NotRun(Cause.UPSTREAM_ERROR, PoisonGuard.SETTLING_RETRY_AFTER_MILLIS);
            return new Decision.Refuse(verdict, "upstreams-crashed");
        }
        Optional<Decision> heldBack = poisonGuard.holdBack(now, call).flatMap(holdBack -> decide(now, call, holdBack));
        return heldBack.orElseGet(() -> decideOnCapacity(now, call));
    }

    /**
     * Decides on a call with an attribute that may be what crashes upstreams. While it is not known what else was at
     * the latest crash, a call that would be lost waits, and others go on.
     */
    private Optional<Decision> decide(long now, DirectCall call, HoldBack holdBack) {
        if (now < holdBack.fromNanos()) {
            boolean waits =
                    wouldBeLost(call) && admissionQueue.addForRetry(now, call, OptionalLong.of(holdBack.fromNanos()));
            return waits ? Optional.of(WAIT) : Optional.empty();
        }
        long remainingMillis = Durations.millis(Math.max(0, holdBack.untilNanos() - now));
        long retryAfterMillis = Math.max(PoisonGuard.SETTLING_RETRY_AFTER_MILLIS, remainingMillis);
        Verdict.NotRun verdict = new Verdict.NotRun(Cause.UPSTREAM_ERROR, retryAfterMillis);
        return Optional.of(new Decision.Refuse(
                verdict, "upstreams-crashed under " + holdBack.attribute().description()));
    }

    private Decision decideOnCapacity(long now, DirectCall call) {
        Optional<UpstreamSelector.Choice> choice = selector.choose(now, call);
        double ownMillis = choice.map(found -> found.firstEventMillis() - found.queueMillis())
                .orElse(USUAL_FIRST_EVENT_MILLIS);
        call.shareClaim.ifPresent(claim -> claim.update(now, call.route.targetLatencyMillis() - ownMillis));
        choice.ifPresent(found -> recordEstimate(call, found));
        return choice.map(found -> decide(now, call, found)).orElseGet(() -> decideWithoutUpstream(now, call));
    }

    private static void recordEstimate(DirectCall call, UpstreamSelector.Choice choice) {
        if (call.lastAttempt == null) {
            call.estimatedFirstEventMillis = choice.firstEventMillis();
            call.estimatedQueueMillis = choice.queueMillis();
        }
    }

    /** Returns the number of plain calls that have waited for a slot since the start. */
    long waitedPlainCalls() {
        return plainCalls.waitedCalls();
    }

    private Decision decide(long now, DirectCall call, UpstreamSelector.Choice choice) {
        Optional<Decision> withoutSlot = plainCalls.decideWithoutSlot(now, call);
        if (withoutSlot.isPresent()) {
            return withoutSlot.get();
        }
        if (isTooLate(now, call, choice)) {
            return refuse(call, choice, "too-late");
        }
        double ownMillis = choice.firstEventMillis() - choice.queueMillis();
        if (yields(now, call, choice)) {
            return queuesForCapacity(now, call, ownMillis) ? WAIT : refuse(call, choice, YIELDS_REASON);
        }
        boolean waits = choice.queueMillis() > MAX_ENGINE_QUEUE_MILLIS || choice.outweighedByGaps();
        if (waits && queuesForCapacity(now, call, ownMillis)) {
            return WAIT;
        }
        return sendUnlessLate(now, call, choice);
    }

    private Decision decideWithoutUpstream(long now, DirectCall call) {
        if (wouldBeLost(call)) {
            if (queuesForRetry(now, call)) {
                return WAIT;
            }
            // Its wait is over, and the upstreams on which it has failed may be tried again now.
            Optional<UpstreamSelector.Choice> again = selector.choose(now, call);
            if (again.isPresent()) {
                return new Decision.Send(again.get());
            }
        }
        OptionalLong next = selector.nextSendAt(now, call);
        if (next.isPresent()) {
            return decideLimited(now, call, next.getAsLong());
        }
        OptionalLong untilGenerating = selector.millisUntilGenerating(now, call);
        if (untilGenerating.isPresent()) {
            return decideWithoutGeneratingUpstream(now, call, untilGenerating.getAsLong());
        }
        boolean allSlotsInUse = selector.hasOpenUpstream(now, call);
        boolean queued =
                allSlotsInUse ? queuesForCapacity(now, call, USUAL_FIRST_EVENT_MILLIS) : queuesForDiscovery(now, call);
        if (queued) {
            return WAIT;
        }
        if (allSlotsInUse) {
            call.offeredLoad.ifPresent(OfferedLoad::onRefusedForSlots);
            Verdict.NotRun verdict = new Verdict.NotRun(Cause.OVERLOADED, NO_SLOT_RETRY_AFTER_MILLIS);
            return new Decision.Refuse(verdict, "all places are taken");
        }
        if (call.origin.isPresent()) {
            Verdict.NotRun verdict = new Verdict.NotRun(Cause.NO_UPSTREAM, NO_VERSION_RETRY_AFTER_MILLIS);
            return new Decision.Refuse(verdict, "no-upstream-of-version");
        }
        Verdict.NotRun verdict = new Verdict.NotRun(Cause.NO_UPSTREAM, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS);
        return new Decision.Refuse(verdict, "no-upstream");
    }

    /**
     * Decides on a begun stream whose software version has engines that only prefill. Its caller comes back when one of
     * them is expected to generate, or as late as it would wait.
     */
    private Decision decideWithoutGeneratingUpstream(long now, DirectCall call, long untilGeneratingMillis) {
        if (queuesForDiscovery(now, call)) {
            return WAIT;
        }
        long retryAfterMillis = Math.min(untilGeneratingMillis, CallReturns.maxWaitMillis(now, call));
        Verdict.NotRun verdict = new Verdict.NotRun(Cause.NO_UPSTREAM, retryAfterMillis);
        return new Decision.Refuse(verdict, "no-generating-upstream-of-version");
    }

    /**
     * Returns whether a refusal would lose work: an answer that has begun, a request that may have run or a prefilled
     * prompt, while no attempt of the call is running.
     */
    private static boolean wouldBeLost(DirectCall call) {
        boolean idle = call.lastAttempt != null && !call.hasOpenAttempt();
        return idle && (call.responseStarted || call.mayHaveRun || call.kvCache.isPresent());
    }

    /**
     * Returns whether a call waits for an upstream that continues it. Upstreams on which its attempts have failed are
     * tried again if no other one accepts it soon: a connection breaks under a sound upstream too.
     */
    private boolean queuesForRetry(long now, DirectCall call) {
        long retryAt = call.lastAttempt.sentAtNanos + MAX_WAIT_FOR_OTHERS_NANOS;
        if (call.unsentAttempts > 0 && now < retryAt) {
            return admissionQueue.addForRetry(now, call, OptionalLong.of(retryAt));
        }
        OptionalLong otherOpenAt = selector.nextOpenAt(now, call);
        boolean waitsForOthers = otherOpenAt.isPresent()
                && otherOpenAt.getAsLong() - now < MAX_WAIT_FOR_OTHERS_NANOS
                && admissionQueue.waitedNanos(now, call) < MAX_WAIT_FOR_OTHERS_NANOS;
        if (!waitsForOthers) {
            call.excludedUpstreams.clear();
        }
        return admissionQueue.addForRetry(now, call, selector.nextOpenAt(now, call));
    }

    /**
     * Decides on a call for which every upstream has requested a backoff or has reached its rate limit. It waits if one
     * of them accepts it before its maximum wait ends, and is refused at once otherwise. Retry times are spread, so
     * that callers do not all retry at the first opportunity.
     */
    private Decision decideLimited(long now, DirectCall call, long nextSendAt) {
        boolean isFirstAttempt = call.lastAttempt == null;
        if (isFirstAttempt && admissionQueue.addUntil(now, call, nextSendAt)) {
            return WAIT;
        }
        call.offeredLoad.ifPresent(OfferedLoad::onRefusedForSlots);
        Verdict.NotRun verdict = new Verdict.NotRun(Cause.OVERLOADED, retryAfterMillis(now, call));
        return new Decision.Refuse(verdict, "upstreams-ask-to-wait");
    }

    /** Returns when the caller of a refused call should retry, in milliseconds from now. */
    long retryAfterMillis(long now, DirectCall call) {
        OptionalLong next = selector.nextRetryAt(now, call);
        if (next.isEmpty()) {
            return CallerResponses.DEFAULT_RETRY_AFTER_MILLIS;
        }
        long spread = Math.floorMod(call.intent.id().hashCode(), RETRY_SPREAD_MILLIS);
        return Math.max(CallerResponses.DEFAULT_RETRY_AFTER_MILLIS, Durations.millis(next.getAsLong() - now)) + spread;
    }

    private static Decision refuse(DirectCall call, UpstreamSelector.Choice choice, String reason) {
        call.offeredLoad.ifPresent(OfferedLoad::onRefusedForPrefill);
        long retryAfterMillis = (long) Math.max(CallerResponses.DEFAULT_RETRY_AFTER_MILLIS, choice.queueMillis());
        return new Decision.Refuse(new Verdict.NotRun(Cause.OVERLOADED, retryAfterMillis), reason);
    }

    /**
     * Returns whether a call waits for capacity. A call that was sent to an upstream, or whose answer has begun, does
     * not.
     */
    private boolean queuesForCapacity(long now, DirectCall call, double ownMillis) {
        return mayWaitForCapacity(call) && admissionQueue.addForCapacity(now, call, ownMillis);
    }

    private static boolean mayWaitForCapacity(DirectCall call) {
        return call.lastAttempt == null && call.isStream();
    }

    /**
     * Returns whether a call is not sent now, as a more urgent kind gets less than its own and no engine is free. Calls
     * that may not wait for capacity do not yield.
     */
    private boolean yields(long now, DirectCall call, UpstreamSelector.Choice choice) {
        return call.standing() instanceof Standing.Yielding yielding
                && mayWaitForCapacity(call)
                && !selector.hasFreeUpstream(now, call, choice, yielding.maxQueueMillis());
    }

    /**
     * Returns whether a call waits for upstreams that this entry has not discovered yet. Guards against refusals while
     * all processes restart together: half of the refused calls were retried before any upstream was known, and lost.
     */
    private boolean queuesForDiscovery(long now, DirectCall call) {
        return call.lastAttempt == null && control.isWarmingUp(now) && admissionQueue.addForDiscovery(now, call);
    }

    /**
     * Sends a call that is expected to be in time, whose late answer is worth more than the engine's time, or whose
     * size group, kind or organisation has been refused more than its share. A call is in time only if gaps between
     * events are, those of the other streams at its engine included. Under overload, engine time is expensive, so that
     * only calls that are in time are sent: if all queued prompts are late, no caller benefits.
     */
    private Decision sendUnlessLate(long now, DirectCall call, UpstreamSelector.Choice choice) {
        double firstEventMillis = Durations.millis(now - call.arrivedAtNanos) + choice.firstEventMillis();
        boolean firstInTime = firstEventMillis <= call.route.targetLatencyMillis();
        boolean inTime = firstInTime && choice.withinGapLimits();
        if (call.lastAttempt != null
                || inTime
                || choice.netValue() > 0
                || isAdmittedForFairness(call, firstEventMillis)) {
            return new Decision.Send(choice);
        }
        if (isAdmittedForShare(call, choice, firstEventMillis)) {
            sentForShare++;
            return new Decision.Send(choice);
        }
        return refuse(call, choice, firstInTime ? "gaps-too-long" : "too-dear");
    }

    /**
     * Returns whether a call is sent because of its size group's fair share. It is sent only if its caller is expected
     * to be still connected.
     */
    private static boolean isAdmittedForFairness(DirectCall call, double firstEventMillis) {
        return firstEventMillis <= CallerTimeouts.maxFirstEventMillis(call)
                && call.fairnessClaim.filter(SizeFairness.Claim::hasCredit).isPresent();
    }

    /**
     * Returns the same because of the share of its kind or organisation. A preferred call does not join a long queue:
     * it would make others late, and its caller too. Its share grows as less urgent calls yield.
     */
    private static boolean isAdmittedForShare(
            DirectCall call, UpstreamSelector.Choice choice, double firstEventMillis) {
        boolean isSent = switch (call.standing()) {
            case Standing.Owed owed -> true;
            case Standing.Preferred preferred -> choice.queueMillis() <= MAX_ENGINE_QUEUE_MILLIS;
            case Standing.Yielding yielding -> false;
            case Standing.Neutral neutral -> false;
        };
        return isSent && firstEventMillis <= CallerTimeouts.maxFirstEventMillis(call);
    }

    /** Returns the number of late calls sent so far because their kind or organisation had got too little. */
    long sentForShare() {
        return sentForShare;
    }

    /**
     * Returns whether the answer to a generation would be too late to be useful. Guards against a queue in which every
     * answer is late or for a disconnected caller: calls that cannot be served in time are refused at once, so that the
     * others are served.
     */
    private static boolean isTooLate(long now, DirectCall call, UpstreamSelector.Choice choice) {
        if (call.responseStarted || call.kvCache.isPresent() || choice.firstEventMillis() == 0) {
            return false;
        }
        double ownMillis = choice.firstEventMillis() - choice.queueMillis();
        double firstEventMillis = Durations.millis(now - call.arrivedAtNanos) + ownMillis;
        return firstEventMillis > CallerTimeouts.maxFirstEventMillis(call)
                || now + Durations.nanos((long) ownMillis) > call.deadlineNanos;
    }
}
