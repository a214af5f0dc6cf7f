package org.cuminshelf.entry;

/** How an entry chooses among the upstreams of a call. All but the first are baselines for comparison. */
public sealed interface RoutingPolicy {

    /** Chooses the upstream expected to finish first, by queued work, cached prefix, role and availability zone. */
    record EarliestAnswer() implements RoutingPolicy {}

    /** Chooses the upstream with the fewest calls in its last load report. */
    record LeastLoaded() implements RoutingPolicy {}

    /** Chooses the upstreams in turn. */
    record RoundRobin() implements RoutingPolicy {}
}
