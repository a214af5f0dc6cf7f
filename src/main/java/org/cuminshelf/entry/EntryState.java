package org.cuminshelf.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Deadlines;
import org.cuminshelf.core.Invariants;

/** The tables of an entry, shared by its systems. */
final class EntryState {

    final EntrySettings settings;
    final Invariants invariants;
    final UpstreamDirectory upstreams;
    final ConfigSubscription config;
    final Map<Long, CallRow> calls = new LinkedHashMap<>();
    final Map<AttemptRow.Key, AttemptRow> attempts = new HashMap<>();
    final Deadlines<Long> callDeadlines = Deadlines.create();
    final Deadlines<AttemptRow.Key> probes = Deadlines.create();
    final Deadlines<Long> claimRetries = Deadlines.create();
    final WaitingCalls waiting = new WaitingCalls();
    final OrganisationRateLimiter limits = new OrganisationRateLimiter();
    final RetryBudget retryBudget = new RetryBudget();
    final OutputLengthEstimator estimates = new OutputLengthEstimator();
    /** Number of the next attempt, over all upstreams and sessions. */
    long nextAttempt = 1;
    /** Attempts on engines that will hand their stream over after the first token. */
    int prefilling;
    /** Whether something happened that may let a waiting call go on. */
    boolean routingDue;

    EntryState(EntrySettings settings, Address self, long now, Invariants invariants) {
        this.settings = settings;
        this.invariants = invariants;
        this.upstreams = new UpstreamDirectory(settings, self, now);
        this.config = new ConfigSubscription(settings, upstreams, now, invariants);
    }
}
