package org.cuminshelf.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.routes.Route;

/** A stream that its caller takes up again, until it is known which software version began it. */
final class ResumedStream {

    final ReceivedRequest request;
    final CallerExchange exchange;
    final CallIntent intent;
    final Route route;
    final Optional<Organisation> organisation;
    final long arrivedAtNanos;
    /** The service that the route chooses for it. */
    final String service;

    /** The processes that may hold its record and have not answered. */
    final Set<Address> unanswered = new HashSet<>();
    /** The other control processes that have not answered which versions they know. */
    final Set<Address> unansweredControl = new HashSet<>();
    /** Those that have answered, without a record. */
    final Set<Address> answered = new HashSet<>();
    /** Those that have answered, and have listened to upstreams since before it may have begun. */
    final Set<Address> informed = new HashSet<>();
    /** The versions that may have begun it, as far as this entry and those that answered know. */
    final Set<String> candidates = new TreeSet<>();

    /** The earliest time at which it may have begun, in nanoseconds. */
    long begunSinceNanos;

    /** When its wait for answers ends, in nanoseconds. */
    long waitEndsAtNanos;

    /** When those that have not answered are asked next, in nanoseconds. */
    long nextRoundAtNanos;

    /** Rounds of questions that began when they were due, the first of them included. */
    int roundsInTime;

    ResumedStream(
            ReceivedRequest request,
            CallerExchange exchange,
            CallIntent intent,
            Route route,
            Optional<Organisation> organisation,
            long arrivedAtNanos,
            String service) {
        this.request = request;
        this.exchange = exchange;
        this.intent = intent;
        this.route = route;
        this.organisation = organisation;
        this.arrivedAtNanos = arrivedAtNanos;
        this.service = service;
    }

    /** When its caller has no time left, in nanoseconds. */
    long deadlineNanos() {
        long callerMillis = intent.deadlineMillis().orElse(route.timeoutMillis());
        return arrivedAtNanos + Durations.nanos(Math.min(callerMillis, route.timeoutMillis()));
    }

    /** The id under which its record is kept: that of the request that brought its first event. */
    String stream() {
        return intent.stream();
    }

    /** Takes the answer of a process that was asked after the stream had arrived. */
    void addAnswer(Address from, StreamAnswer answer) {
        unanswered.remove(from);
        unansweredControl.remove(from);
        answered.add(from);
        candidates.addAll(answer.getVersionsList());
        if (answer.getComplete()) {
            informed.add(from);
        }
    }

    /** The only version known, which may not be the only one that there is. */
    Optional<String> singleCandidate() {
        return candidates.size() == 1 ? Optional.of(candidates.iterator().next()) : Optional.empty();
    }
}
