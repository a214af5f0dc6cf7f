package org.cuminshelf.entry;

/** How an entry chooses among the upstreams of a call. All but the first are baselines to measure against. */
public sealed interface RoutingPolicy {

    /** The upstream expected to answer first, by work waiting there, cached prefix, role and zone. */
    record EarliestAnswer() implements RoutingPolicy {}

    /** The upstream with the fewest calls by the last load report. */
    record LeastLoaded() implements RoutingPolicy {}

    /** Each upstream in turn. */
    record RoundRobin() implements RoutingPolicy {}
}
