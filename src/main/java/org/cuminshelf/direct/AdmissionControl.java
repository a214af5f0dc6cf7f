package org.cuminshelf.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Cause;
import org.cuminshelf.verdict.Verdict;

/** Decides what is done with a call now: it is sent where it is served best, waits a moment, or is refused. */
final class AdmissionControl {

    /** What is done with a call now. */
    sealed interface Decision {

        /** It goes to an upstream. */
        record Send(UpstreamSelector.Choice choice) implements Decision {}

        /** It waits here, and is decided again. */
        record Wait() implements Decision {}

        /**
         * It is refused.
         *
         * @param verdict what its caller is told
         * @param reason  why, for the log
         */
        record Refuse(Verdict.NotRun verdict, String reason) implements Decision {}
    }

    /** Time for which a caller waits for the first event at the most, and times the target, whichever is longer. */
    private static final double LONGEST_FIRST_MILLIS = 1_900;

    private static final double LONGEST_FIRST_FACTOR = 3.8;
    /**
     * Milliseconds of prompts before it for which a prompt waits at an engine rather than here: short against the
     * targets, and long enough that no engine runs dry before the next calls are tried.
     */
    private static final double ENGINE_WAIT_MILLIS = 100;
    /** Milliseconds to the first event of a usual prompt, where no engine could be estimated. */
    private static final double USUAL_FIRST_MILLIS = 50;
    /** When to come back where all places are taken: streams end after some 2 s, so half of them by then. */
    private static final long FULL_RETRY_AFTER_MILLIS = 1_000;

    /** Milliseconds over which callers come back that were refused as their upstreams ask to wait. */
    private static final int RETURNS_SPREAD_MILLIS = 1_000;

    private static final Decision WAIT = new Decision.Wait();

    private final UpstreamSelector selector;
    private final ControlSubscription control;
    private final AdmissionQueue admissionQueue;

    AdmissionControl(UpstreamSelector selector, ControlSubscription control, AdmissionQueue admissionQueue) {
        this.selector = selector;
        this.control = control;
        this.admissionQueue = admissionQueue;
    }

    Decision decide(long now, DirectCall call) {
        Optional<UpstreamSelector.Choice> choice = selector.choose(now, call);
        choice.ifPresent(found -> expect(call, found));
        return choice.map(found -> decide(now, call, found)).orElseGet(() -> decideUnplaced(now, call));
    }

    private static void expect(DirectCall call, UpstreamSelector.Choice choice) {
        if (call.lastAttempt == null) {
            call.estimatedFirstEventMillis = choice.firstEventMillis();
            call.estimatedQueueMillis = choice.queueMillis();
        }
    }

    private Decision decide(long now, DirectCall call, UpstreamSelector.Choice choice) {
        if (isHopeless(now, call, choice)) {
            return refuse(call, choice, "too-late");
        }
        double own = choice.firstEventMillis() - choice.queueMillis();
        if (choice.queueMillis() > ENGINE_WAIT_MILLIS && waitsForTurn(now, call, own)) {
            return WAIT;
        }
        return sendUnlessLate(now, call, choice);
    }

    private Decision decideUnplaced(long now, DirectCall call) {
        OptionalLong next = selector.nextSend(now, call);
        if (next.isPresent()) {
            return decideHeldBack(now, call, next.getAsLong());
        }
        boolean full = selector.hasOpen(now, call);
        boolean waits = full ? waitsForTurn(now, call, USUAL_FIRST_MILLIS) : waitsForUpstreams(now, call);
        if (waits) {
            return WAIT;
        }
        if (full) {
            call.offeredLoad.ifPresent(OfferedLoad::onRefusedForSlots);
            Verdict.NotRun verdict = new Verdict.NotRun(Cause.OVERLOADED, FULL_RETRY_AFTER_MILLIS);
            return new Decision.Refuse(verdict, "all places are taken");
        }
        Verdict.NotRun verdict = new Verdict.NotRun(Cause.NO_UPSTREAM, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS);
        return new Decision.Refuse(verdict, "no-upstream");
    }

    /**
     * Decides on a call all of whose upstreams rest or state limits: it waits if one takes it before its patience ends,
     * and is refused at once otherwise. The times to come back are spread, so that not all come for the first chance.
     */
    private Decision decideHeldBack(long now, DirectCall call, long nextAt) {
        boolean fresh = call.lastAttempt == null;
        if ((fresh || call.kvCache.isPresent()) && admissionQueue.addUntil(now, call, nextAt)) {
            return WAIT;
        }
        call.offeredLoad.ifPresent(OfferedLoad::onRefusedForSlots);
        Verdict.NotRun verdict = new Verdict.NotRun(Cause.OVERLOADED, retryAfterMillis(now, call));
        return new Decision.Refuse(verdict, "upstreams-ask-to-wait");
    }

    /** When the caller of a call that is refused should come back, in milliseconds from now. */
    long retryAfterMillis(long now, DirectCall call) {
        OptionalLong next = selector.nextReturn(now, call);
        if (next.isEmpty()) {
            return CallerResponses.DEFAULT_RETRY_AFTER_MILLIS;
        }
        long spread = Math.floorMod(call.intent.id().hashCode(), RETURNS_SPREAD_MILLIS);
        return Math.max(CallerResponses.DEFAULT_RETRY_AFTER_MILLIS, Durations.millis(next.getAsLong() - now)) + spread;
    }

    private static Decision refuse(DirectCall call, UpstreamSelector.Choice choice, String reason) {
        call.offeredLoad.ifPresent(OfferedLoad::onRefusedForPrefill);
        long wait = (long) Math.max(CallerResponses.DEFAULT_RETRY_AFTER_MILLIS, choice.queueMillis());
        return new Decision.Refuse(new Verdict.NotRun(Cause.OVERLOADED, wait), reason);
    }

    /** Whether a call waits here for its turn; one that an upstream has had, or whose answer began, doesn't. */
    private boolean waitsForTurn(long now, DirectCall call, double ownMillis) {
        return call.lastAttempt == null && call.isStream() && admissionQueue.addForTurn(now, call, ownMillis);
    }

    /**
     * Whether a call waits for upstreams that this entry has not heard of yet. Guards against a refusal of all that
     * comes while all processes restart together, of which half came back before anything was known and was lost.
     */
    private boolean waitsForUpstreams(long now, DirectCall call) {
        return call.lastAttempt == null && control.isWarmingUp(now) && admissionQueue.addForUpstreams(now, call);
    }

    /**
     * Sends a call that will be in time, or whose answer is worth more than the engine's time though it comes late, or
     * whose size was refused more than its share. Under more work than the engines can take their time is dear, so that
     * only what is in time goes: queues of prompts that are all late serve nobody.
     */
    private static Decision sendUnlessLate(long now, DirectCall call, UpstreamSelector.Choice choice) {
        double first = Durations.millis(now - call.arrivedAtNanos) + choice.firstEventMillis();
        boolean inTime = first <= call.route.targetLatencyMillis();
        if (call.lastAttempt != null || inTime || choice.netValue() > 0 || isAdmittedForFairness(call, first)) {
            return new Decision.Send(choice);
        }
        return refuse(call, choice, "too-dear");
    }

    /** Whether a call goes for its size's sake, which it does only where its caller will still be there. */
    private static boolean isAdmittedForFairness(DirectCall call, double firstMillis) {
        return firstMillis <= longestFirst(call)
                && call.fairnessClaim.filter(SizeFairness.Claim::hasCredit).isPresent();
    }

    /** Milliseconds after which the caller of a stream that shows nothing has left. */
    private static double longestFirst(DirectCall call) {
        return Math.max(LONGEST_FIRST_MILLIS, LONGEST_FIRST_FACTOR * call.route.targetLatencyMillis());
    }

    /**
     * Whether a generation would be answered too late to be of use. Guards against a queue of which every answer is
     * late, or made for callers that have left: what can't be served in time is refused at once, while the rest is.
     */
    private static boolean isHopeless(long now, DirectCall call, UpstreamSelector.Choice choice) {
        if (call.responseStarted || call.kvCache.isPresent() || choice.firstEventMillis() == 0) {
            return false;
        }
        double own = choice.firstEventMillis() - choice.queueMillis();
        double first = Durations.millis(now - call.arrivedAtNanos) + own;
        return first > longestFirst(call) || now + Durations.nanos((long) own) > call.deadlineNanos;
    }
}
