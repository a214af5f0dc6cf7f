package org.cuminshelf.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminshelf.verdict.Verdict;

/**
 * Decides whether a silent attempt gets a replacement, which is sent while the attempt goes on (a hedged request).
 *
 * <p>Guards against answers that are ended by a belief about their upstream: a sound upstream may pause, so that a
 * silent attempt is given up only for another one that is certain.
 */
final class ReplacementPlanner {

    /** The outcome of the decision on a silent attempt. */
    sealed interface Decision {

        /** The replacement is sent to the selected upstream. */
        record Send(UpstreamSelector.Choice choice) implements Decision {}

        /**
         * The attempt goes on alone.
         *
         * @param reason the reason, for the log
         */
        record Keep(String reason) implements Decision {}
    }

    private final RetryPolicy retryPolicy;
    private final AdmissionControl admission;
    private final AdmissionQueue admissionQueue;
    private final SilentUpstreams silentUpstreams;

    ReplacementPlanner(
            RetryPolicy retryPolicy,
            AdmissionControl admission,
            AdmissionQueue admissionQueue,
            SilentUpstreams silentUpstreams) {
        this.retryPolicy = retryPolicy;
        this.admission = admission;
        this.admissionQueue = admissionQueue;
        this.silentUpstreams = silentUpstreams;
    }

    /** Decides on a silent attempt; reserves a retry of the budget if the replacement is sent. */
    Decision decide(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (!attempt.prefillOnly && !call.isRetryable()) {
            return new Decision.Keep(RetryRefusal.NOT_REPEATABLE.label());
        }
        Optional<RetryRefusal> refusal = retryPolicy.refusal(now, call);
        if (refusal.isPresent()) {
            return new Decision.Keep(refusal.get().label());
        }
        Decision decision = place(now, attempt);
        if (decision instanceof Decision.Send
                && !retryPolicy.reserve(now, call, call.arrivals.grantsNeededToReplace(attempt))) {
            return new Decision.Keep(RetryRefusal.RETRY_BUDGET_EMPTY.label());
        }
        return decision;
    }

    /** Selects an upstream that neither runs an attempt of the call nor is silent itself, and prefills anew there. */
    private Decision place(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        Set<String> silent = silentUpstreams.of(now, call.service);
        Set<String> undecided = undecided(now, attempt, silent);
        Set<String> unsuitable = unsuitable(attempt, silent);
        unsuitable.addAll(undecided);
        unsuitable.removeAll(call.excludedUpstreams);
        boolean singleEngineOnly = call.singleEngineOnly;
        Optional<KvCacheHandle> kvCache = call.kvCache;
        call.excludedUpstreams.addAll(unsuitable);
        call.singleEngineOnly = true;
        call.kvCache = Optional.empty();
        try {
            return toDecision(call, admission.decide(now, call), silent, undecided);
        } finally {
            call.excludedUpstreams.removeAll(unsuitable);
            call.singleEngineOnly = singleEngineOnly;
            call.kvCache = kvCache;
        }
    }

    private Set<String> unsuitable(DirectAttempt attempt, Set<String> silent) {
        DirectCall call = attempt.call;
        Set<String> unsuitable = new HashSet<>(silent);
        if (otherIsSilent(call, silent)) {
            // Several fall silent for a common cause, so those that nothing was received from since may be silent too.
            unsuitable.addAll(silentUpstreams.withoutResponseSince(attempt.lastProgressAtNanos, call.service));
        }
        unsuitable.addAll(inUse(call));
        return unsuitable;
    }

    private static Set<String> inUse(DirectCall call) {
        return call.openAttempts.stream().map(open -> open.upstream.id).collect(Collectors.toSet());
    }

    /**
     * Returns the upstreams that may be silent for the same cause as that of a begun stream, as long as its caller
     * still waits for the next look at the attempt. Guards against prompts that are prefilled again while all upstreams
     * pause: an entry whose requests wait at one of them knows the silence of the others only later.
     */
    private Set<String> undecided(long now, DirectAttempt attempt, Set<String> silent) {
        DirectCall call = attempt.call;
        boolean upstreamIsSilent = silent.contains(attempt.upstream.id);
        return upstreamIsSilent && call.isStream() && call.responseStarted && mayBeDecidedLater(now, call)
                ? silentUpstreams.undecided(now, call.service, inUse(call))
                : Set.of();
    }

    /** Returns whether a replacement that is sent at the next look at the attempt still reaches the caller in time. */
    private static boolean mayBeDecidedLater(long now, DirectCall call) {
        return now + AttemptRunner.SILENT_CHECK_INTERVAL_NANOS < CallerTimeouts.latestSendAt(call);
    }

    private Decision toDecision(
            DirectCall call, AdmissionControl.Decision decision, Set<String> silent, Set<String> undecided) {
        return switch (decision) {
            case AdmissionControl.Decision.Send(UpstreamSelector.Choice choice) ->
                hasFreeSlot(choice.upstream()) ? new Decision.Send(choice) : new Decision.Keep("slots-in-use");
            case AdmissionControl.Decision.Wait() -> {
                admissionQueue.remove(call);
                yield new Decision.Keep("queue");
            }
            case AdmissionControl.Decision.Refuse(Verdict.NotRun verdict, String reason) ->
                new Decision.Keep(keepReason(call, reason, silent, undecided));
        };
    }

    private static String keepReason(DirectCall call, String reason, Set<String> silent, Set<String> undecided) {
        if (otherIsSilent(call, silent)) {
            return "other-upstreams-silent";
        }
        return undecided.isEmpty() ? reason : "other-upstreams-unheard";
    }

    private static boolean hasFreeSlot(UpstreamInstance upstream) {
        return upstream.totalAttempts() < upstream.slots;
    }

    private static boolean otherIsSilent(DirectCall call, Set<String> silent) {
        return silent.stream()
                .anyMatch(id -> call.openAttempts.stream().noneMatch(open -> open.upstream.id.equals(id)));
    }
}
