package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.core.Durations;

/** Decides whether a call may be sent once more: by its route, its time, crashes under it and the retry budget. */
final class RetryPolicy {

    /** Remaining time below which no further attempt is sent. */
    private static final long MIN_REMAINING_NANOS = Durations.nanos(60);

    private final PoisonGuard poisonGuard;
    private final ServiceRetryBudget budget;
    private final ControlSubscription control;

    RetryPolicy(PoisonGuard poisonGuard, ServiceRetryBudget budget, ControlSubscription control) {
        this.poisonGuard = poisonGuard;
        this.budget = budget;
        this.control = control;
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
        boolean available = budget.isAvailable(now, call.service, control.largestEntryCount());
        return available ? Optional.empty() : Optional.of(RetryRefusal.RETRY_BUDGET_EMPTY);
    }

    /** Takes one retry of the budget for a call; returns why it may not be sent once more, or empty. */
    Optional<RetryRefusal> acquire(long now, DirectCall call) {
        Optional<RetryRefusal> refusal = refusal(now, call);
        if (refusal.isEmpty()) {
            budget.tryAcquire(now, call.service, control.largestEntryCount());
        }
        return refusal;
    }

    /** Returns one retry to the budget, as it never reached an upstream. */
    void giveBack(long now, DirectCall call) {
        budget.giveBack(now, call.service);
    }
}
