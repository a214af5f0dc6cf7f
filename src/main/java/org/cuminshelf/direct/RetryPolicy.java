package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.core.Durations;

/**
 * Decides whether a call may be sent once more: by its route, its time, crashes under it and the retry budget. All that
 * is sent to upstreams passes {@link #onSending}, which takes a grant for each arrival after the first of a call.
 */
final class RetryPolicy {

    /** Remaining time below which no further attempt is sent. */
    private static final long MIN_REMAINING_NANOS = Durations.nanos(60);

    private final PoisonGuard poisonGuard;
    private final ServiceRetryBudget budget;
    private final ControlSubscription control;
    private final DecisionLog log;
    private final RetryCounts counts = new RetryCounts();

    RetryPolicy(PoisonGuard poisonGuard, ServiceRetryBudget budget, ControlSubscription control, DecisionLog log) {
        this.poisonGuard = poisonGuard;
        this.budget = budget;
        this.control = control;
        this.log = log;
    }

    RetryCounts counts() {
        return counts;
    }

    /** Counts a new call, as the budget is a share of them. */
    void onCall(long now, DirectCall call) {
        budget.onRequest(now, call.service);
    }

    /** Returns why a call may not be sent once more, or empty; takes nothing of the budget. */
    Optional<RetryRefusal> refusal(long now, DirectCall call) {
        if (call.mayHaveRun && !call.isRetryable()) {
            return Optional.of(RetryRefusal.NOT_REPEATABLE);
        }
        if (call.attemptCount >= call.route.maxAttempts()) {
            return Optional.of(RetryRefusal.ATTEMPTS_USED_UP);
        }
        if (now + MIN_REMAINING_NANOS >= call.deadlineNanos) {
            return Optional.of(RetryRefusal.NO_TIME_LEFT);
        }
        if (!poisonGuard.mayRetry(call)) {
            return Optional.of(RetryRefusal.UPSTREAMS_CRASHED);
        }
        int missing = call.arrivals.grantsNeeded(false) - call.arrivals.held();
        boolean available = missing <= 0 || budget.isAvailable(now, call.service, control.largestEntryCount(), missing);
        return available ? Optional.empty() : Optional.of(RetryRefusal.RETRY_BUDGET_EMPTY);
    }

    /** Reserves the grant of the budget that one more run of a call needs; returns why it may not be sent, or empty. */
    Optional<RetryRefusal> acquire(long now, DirectCall call) {
        Optional<RetryRefusal> refusal = refusal(now, call);
        if (refusal.isEmpty() && !reserve(now, call, call.arrivals.grantsNeeded(false))) {
            refusal = Optional.of(RetryRefusal.RETRY_BUDGET_EMPTY);
        }
        refusal.filter(RetryRefusal.RETRY_BUDGET_EMPTY::equals).ifPresent(empty -> noteRefused(now, call));
        return refusal;
    }

    /** Reserves grants until a call holds so many; returns whether it does. */
    boolean reserve(long now, DirectCall call, int needed) {
        while (call.arrivals.held() < needed) {
            Optional<RetryGrant> grant = budget.reserve(now, call.service, control.largestEntryCount());
            if (grant.isEmpty()) {
                return false;
            }
            counts.onGranted();
            call.arrivals.hold(grant.get());
        }
        return true;
    }

    /**
     * Reserves what a prompt needs that is prefilled apart: where it was so before, only if the budget is ample, as it
     * takes a grant more than a run on one engine.
     */
    boolean reserveForPrefill(long now, DirectCall call) {
        int needed = call.arrivals.grantsNeeded(true);
        int entries = control.largestEntryCount();
        boolean ample = needed <= 1 || 2 * budget.used(now, call.service) <= budget.limit(now, call.service, entries);
        return ample && reserve(now, call, needed);
    }

    /** Counts an attempt that is being sent, with its grant if it is an arrival after the first of its call. */
    void onSending(long now, DirectAttempt attempt) {
        attempt.grant = attempt.call.arrivals.onSending(attempt);
        attempt.grant.ifPresent(grant -> onSent(now, attempt, grant));
    }

    private void onSent(long now, DirectAttempt attempt, RetryGrant grant) {
        budget.onSent(now, grant);
        counts.onSent(attempt.prefillOnly);
        note(now, attempt.call, attempt.prefillOnly ? "sent-prefill" : "sent-run");
    }

    /** Takes back an attempt whose request never left this process; its call keeps the grant for the next one. */
    void onNotSent(DirectAttempt attempt) {
        attempt.grant.ifPresent(grant -> {
            budget.onNotSent(grant);
            counts.onNotSent(attempt.prefillOnly);
        });
        attempt.call.arrivals.onNotSent(attempt);
    }

    /** Counts a prefill that brought no KV cache, as it may have been rejected. */
    void onPrefillFailed(long now, DirectAttempt attempt) {
        attempt.call.arrivals.onPrefillFailed(attempt).ifPresent(grant -> onSent(now, attempt, grant));
    }

    /** Takes back the grants that a closed call has not used. */
    void release(DirectCall call) {
        call.arrivals.releaseAll().forEach(grant -> {
            budget.release(grant);
            counts.onGivenBack();
        });
    }

    /** Logs that the budget has no retry left for a call. */
    void noteRefused(long now, DirectCall call) {
        counts.onRefused();
        note(now, call, "refused");
    }

    private void note(long now, DirectCall call, String outcome) {
        int entries = control.largestEntryCount();
        log.note(
                "retry",
                call.intent.id(),
                "outcome",
                outcome,
                "service",
                call.service,
                "arrivals",
                call.arrivals.arrivals(),
                "used",
                budget.used(now, call.service),
                "limit",
                Math.floor(budget.limit(now, call.service, entries)),
                "entries",
                entries,
                "young",
                budget.isYoung(now));
    }
}
