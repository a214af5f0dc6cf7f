package org.cuminshelf.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.DeadlineQueue;
import org.cuminshelf.core.Invariants;

/** The state of an entry, shared by its systems. */
final class EntryState {

    final EntrySettings settings;
    final Invariants invariants;
    final UpstreamDirectory upstreams;
    final ConfigSubscription config;
    final Map<Long, CallRow> calls = new LinkedHashMap<>();
    final Map<AttemptRow.Key, AttemptRow> attempts = new HashMap<>();
    final DeadlineQueue<Long> callDeadlines = DeadlineQueue.create();
    /** When each dispatched attempt is probed next. */
    final DeadlineQueue<AttemptRow.Key> probeTimers = DeadlineQueue.create();
    /** When each claim request, by question number, is sent again. */
    final DeadlineQueue<Long> claimTimers = DeadlineQueue.create();

    final WaitingCalls waitingCalls = new WaitingCalls();
    final OrganisationRateLimiter rateLimiter = new OrganisationRateLimiter();
    final RetryBudget retryBudget = new RetryBudget();
    final OutputLengthEstimator outputLengths = new OutputLengthEstimator();
    /** Number of the next attempt; unique over all upstreams and sessions. */
    long nextAttemptNumber = 1;
    /** Number of attempts whose stream moves to another engine after the first token. */
    int prefillOnlyAttempts;
    /** Whether a change since the last tick may allow a waiting call to be dispatched. */
    boolean routingDue;

    EntryState(EntrySettings settings, Address self, long now, Invariants invariants) {
        this.settings = settings;
        this.invariants = invariants;
        this.upstreams = new UpstreamDirectory(settings, self, now);
        this.config = new ConfigSubscription(settings, upstreams, now, invariants);
    }
}
