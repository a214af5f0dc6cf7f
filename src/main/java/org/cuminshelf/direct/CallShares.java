package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Cause;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.shares.CallKind;
import org.cuminshelf.shares.ServiceShares;
import org.cuminshelf.shares.ShareClaim;
import org.cuminshelf.verdict.Verdict;

/**
 * Records calls and their outcomes in the shares of their services. Only what admission has caused counts: a kind whose
 * requests fail at upstreams, or whose own time exceeds its target, must not make other kinds yield.
 */
final class CallShares {

    private final Map<String, ServiceShares> services = new HashMap<>();
    private long refusedForPriority;

    /**
     * Registers an arriving call.
     *
     * @param call  the call
     * @param value value of its answer, in usual answers
     */
    void onArrival(DirectCall call, double value) {
        ServiceShares shares = services.computeIfAbsent(call.service, key -> ServiceShares.create());
        CallKind kind = new CallKind(call.route.name(), call.priority());
        ShareClaim claim = shares.register(kind, call.organisation.map(Organisation::name), value);
        call.shareClaim = Optional.of(claim);
    }

    /** Records that a call is sent to an upstream. */
    void onSent(long now, DirectCall call) {
        call.shareClaim.ifPresent(claim -> claim.onSent(now));
    }

    /** Records that the first event of a stream, or a whole answer, has arrived. */
    void onAnswer(long now, DirectCall call) {
        if (isLateForWaiting(now, call)) {
            call.shareClaim.ifPresent(claim -> claim.onLate(now));
        }
    }

    /** Records that a response other than an error is complete. */
    void onCompleted(long now, DirectCall call) {
        long maxGapMillis = call.route.maxEventGapMillis();
        boolean gapTooLong = maxGapMillis > 0 && call.longestGapNanos > Durations.nanos(maxGapMillis);
        if (gapTooLong) {
            call.shareClaim.ifPresent(claim -> claim.onLate(now));
        } else if (!call.isStream()) {
            onAnswer(now, call);
        }
    }

    /** Records that the caller of a call has left. */
    void onLeft(long now, DirectCall call) {
        if (!call.responseStarted) {
            call.shareClaim.ifPresent(claim -> claim.onLeft(now));
        }
    }

    /** Records that a call has failed; it counts only if it was refused because capacity was in use by others. */
    void onFailed(long now, DirectCall call) {
        boolean refused = !call.responseStarted
                && !call.mayHaveRun
                && couldBeInTime(call)
                && call.lastFailure.filter(CallShares::isOverload).isPresent();
        if (refused) {
            call.shareClaim.ifPresent(claim -> claim.onRefused(now));
            refusedForPriority += call.noRetryReason.equals(AdmissionControl.YIELDS_REASON) ? 1 : 0;
        }
    }

    private static boolean isOverload(Verdict verdict) {
        return verdict instanceof Verdict.NotRun notRun && notRun.cause() == Cause.OVERLOADED;
    }

    /** Returns whether an answer is late because the call had to wait, and not for a failed attempt. */
    private static boolean isLateForWaiting(long now, DirectCall call) {
        boolean late = Durations.millis(now - call.arrivedAtNanos) > call.route.targetLatencyMillis();
        return late && couldBeInTime(call) && call.lastFailure.isEmpty();
    }

    /** Returns whether the time that a call itself takes is within its target, without waiting. */
    private static boolean couldBeInTime(DirectCall call) {
        return call.estimatedFirstEventMillis - call.estimatedQueueMillis <= call.route.targetLatencyMillis();
    }

    /** Returns the number of calls refused so far because a more urgent kind was behind. */
    long refusedForPriority() {
        return refusedForPriority;
    }

    /** Returns the number of kinds and organisations whose shares are kept. */
    long groupCount() {
        return services.values().stream().mapToLong(ServiceShares::groupCount).sum();
    }
}
