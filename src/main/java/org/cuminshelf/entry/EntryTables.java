package org.cuminshelf.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Deadlines;
import org.cuminshelf.core.Invariants;

/** The tables of an entry, shared by its systems. */
final class EntryTables {

    final EntrySettings settings;
    final Invariants invariants;
    final Upstreams upstreams;
    final ConfigHolder config;
    final Map<Long, CallRow> calls = new LinkedHashMap<>();
    final Map<AttemptRow.Key, AttemptRow> attempts = new HashMap<>();
    final Deadlines<Long> callDeadlines = Deadlines.create();
    final Deadlines<AttemptRow.Key> probes = Deadlines.create();
    final Deadlines<Long> claimRetries = Deadlines.create();
    final WaitingCalls waiting = new WaitingCalls();
    final Limits limits = new Limits();
    final RetryBudget retryBudget = new RetryBudget();
    final OutputEstimates estimates = new OutputEstimates();
    /** Number of the next attempt, over all upstreams and sessions. */
    long nextAttempt = 1;
    /** Attempts on engines that will hand their stream over after the first token. */
    int prefilling;
    /** Whether something happened that may let a waiting call go on. */
    boolean routingDue;

    EntryTables(EntrySettings settings, Address self, long now, Invariants invariants) {
        this.settings = settings;
        this.invariants = invariants;
        this.upstreams = new Upstreams(settings, self, now);
        this.config = new ConfigHolder(settings, upstreams, now, invariants);
    }
}
