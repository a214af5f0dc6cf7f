package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.message.Cause;
import org.cuminshelf.verdict.Verdict;

/**
 * Decides on plain calls for which every upstream has all its slots taken.
 *
 * <p>Guards against rejections after a power cut: the first plain upstream that was known received all waiting calls
 * and rejected most of them. While this entry discovers upstreams, calls beyond the slots of those known wait for the
 * others. Otherwise a call waits briefly and is then sent, as an upstream queues more requests than it has slots.
 *
 * <p>Only first attempts wait, so waiting never sends a request twice.
 */
final class PlainCallAdmission {

    private final UpstreamSelector selector;
    private final ControlSubscription control;
    private final AdmissionQueue admissionQueue;
    private long waitedCalls;

    PlainCallAdmission(UpstreamSelector selector, ControlSubscription control, AdmissionQueue admissionQueue) {
        this.selector = selector;
        this.control = control;
        this.admissionQueue = admissionQueue;
    }

    /**
     * Decides on a call if it is plain, was not sent before and no upstream has a free slot.
     *
     * @param now  the time in nanoseconds
     * @param call the call
     * @return whether it waits or is refused; empty if it is not concerned or its wait is over
     */
    Optional<AdmissionControl.Decision> decideWithoutSlot(long now, DirectCall call) {
        boolean concerned = call.isPlain() && call.lastAttempt == null && selector.allSlotsTaken(now, call);
        if (!concerned) {
            return Optional.empty();
        }
        if (now >= AdmissionQueue.latestSendAt(call)) {
            Verdict.NotRun verdict = new Verdict.NotRun(Cause.OVERLOADED, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS);
            return Optional.of(new AdmissionControl.Decision.Refuse(verdict, "no-slot-before-deadline"));
        }
        if (!admissionQueue.addForSlot(now, call, control.isWarmingUp(now))) {
            return Optional.empty();
        }
        waitedCalls += call.waitedForSlot ? 0 : 1;
        call.waitedForSlot = true;
        return Optional.of(new AdmissionControl.Decision.Wait());
    }

    /** Returns the number of calls that have waited since the start. */
    long waitedCalls() {
        return waitedCalls;
    }
}
