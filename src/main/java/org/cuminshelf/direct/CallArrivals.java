package org.cuminshelf.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * What a call has sent to upstreams, and the retries of the budget that it holds for what it sends next.
 *
 * <p>The first prefill that an upstream accepts is free. All else that reaches an upstream is an arrival, and each
 * arrival after the first one takes a grant.
 */
final class CallArrivals {

    private final Deque<RetryGrant> grants = new ArrayDeque<>();
    private int arrivals;
    private boolean prefillSent;

    /**
     * Returns how many grants a call must hold to be sent: for a prefill, those of the run that follows it too.
     *
     * @param prefillOnly whether only its prompt is prefilled
     */
    int grantsNeeded(boolean prefillOnly) {
        int forRun = arrivals == 0 ? 0 : 1;
        // A further prefill is an arrival itself, so that the run after it is never the first one.
        return prefillOnly && prefillSent ? forRun + 1 : forRun;
    }

    /** Returns how many grants a call must hold for a run that replaces an open attempt. */
    int grantsNeededToReplace(DirectAttempt attempt) {
        return grantsNeeded(false) + (attempt.firstPrefill ? 1 : 0);
    }

    int held() {
        return grants.size();
    }

    int arrivals() {
        return arrivals;
    }

    void hold(RetryGrant grant) {
        grants.add(grant);
    }

    /**
     * Counts an attempt that is being sent, and returns its grant.
     *
     * @return the grant; empty for a first prefill and the first arrival
     * @throws IllegalStateException if it needs one and the call holds none
     */
    Optional<RetryGrant> onSending(DirectAttempt attempt) {
        if (attempt.prefillOnly && !prefillSent) {
            prefillSent = true;
            attempt.firstPrefill = true;
            return Optional.empty();
        }
        return countArrival();
    }

    private Optional<RetryGrant> countArrival() {
        if (arrivals > 0 && grants.isEmpty()) {
            throw new IllegalStateException("a request would reach a further upstream without a grant");
        }
        arrivals++;
        return arrivals > 1 ? Optional.of(grants.removeFirst()) : Optional.empty();
    }

    /** Takes back an attempt whose request never left this process. */
    void onNotSent(DirectAttempt attempt) {
        if (attempt.firstPrefill) {
            attempt.firstPrefill = false;
            prefillSent = false;
        } else {
            arrivals--;
        }
        attempt.grant.ifPresent(grants::addFirst);
        attempt.grant = Optional.empty();
    }

    /**
     * Counts a first prefill that no upstream has completed, as it may have been rejected, and returns its grant.
     *
     * @return the grant; empty if it is the first arrival, or no first prefill
     */
    Optional<RetryGrant> onPrefillFailed(DirectAttempt attempt) {
        if (!attempt.firstPrefill) {
            return Optional.empty();
        }
        attempt.firstPrefill = false;
        return countArrival();
    }

    /** Returns the grants that are held no longer. */
    Deque<RetryGrant> releaseAll() {
        Deque<RetryGrant> released = new ArrayDeque<>(grants);
        grants.clear();
        return released;
    }
}
