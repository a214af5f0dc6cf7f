package org.cuminshelf.trial;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.UpstreamHandler;
import org.eclipse.jetty.http.HttpFields;

/** What an upstream in need asks of entries, and a record of what reached it from those that it had told. */
final class NeedyUpstream {

    /** Time from the first statement of a limit in which entries may still learn of it. */
    private static final long SETTLING = Durations.nanos(3_000);
    /** Time after which an entry counts as told. */
    private static final long TOLD = Durations.nanos(500);

    /** Time after a refusal in which requests may still be on their way. */
    private static final long ON_THEIR_WAY = Durations.nanos(500);

    private static final long WINDOW = Durations.nanos(4_000);
    private static final double MOST_SHARE = 1.5;
    private static final int SLACK = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A request that reached it, and from where. */
    private record Arrival(long at, Address entry) {}

    /** A refusal that asked an entry for rest. */
    private record Refusal(long at, Address entry, long rest) {}

    private final VirtualTime time;
    private final List<Refusal> refusals = new ArrayList<>();
    private final Map<Address, Long> toldThatItLeaves = new HashMap<>();
    private long restMillis;
    private boolean leaving;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<Address, Long> toldAt = new HashMap<>();
    private OptionalDouble limit = OptionalDouble.empty();
    private long limitSince;

    NeedyUpstream(VirtualTime time) {
        this.time = time;
    }

    /** Names a limit in all answers from now on. */
    void state(double perSecond) {
        limit = OptionalDouble.of(perSecond);
        limitSince = time.now();
        toldAt.clear();
    }

    /** Names no limit any more. */
    void lift() {
        limit = OptionalDouble.empty();
    }

    /** Refuses all that comes from now on, and asks for so much rest each time. */
    void askForRest(long millis) {
        restMillis = millis;
    }

    /** Refuses nothing any more. */
    void takeAll() {
        restMillis = 0;
    }

    /** Says in all answers from now on that it leaves. */
    void leave() {
        leaving = true;
    }

    /** The head of a refusal, if it refuses. */
    Optional<HttpFields.Mutable> refusal(Address entry) {
        if (restMillis == 0) {
            return Optional.empty();
        }
        refusals.add(new Refusal(time.now(), entry, Durations.nanos(restMillis)));
        return Optional.of(HttpFields.build().put("Not-Run", "1").put("Rest", String.valueOf(restMillis)));
    }

    long refused() {
        return refusals.size();
    }

    /** Most requests that came from an entry within a rest that it was asked for. */
    long worstWithinRest() {
        return refusals.stream()
                .mapToLong(refusal -> arrivals.stream()
                        .filter(arrival -> arrival.entry.equals(refusal.entry))
                        .filter(arrival -> arrival.at > refusal.at + ON_THEIR_WAY)
                        .filter(arrival -> arrival.at < refusal.at + refusal.rest)
                        .count())
                .max()
                .orElse(0);
    }

    /** Requests that came from an entry so long after it was told that this upstream leaves. */
    long afterToldOfLeaving(long delay) {
        return arrivals.stream()
                .filter(arrival ->
                        arrival.at > toldThatItLeaves.getOrDefault(arrival.entry, Long.MAX_VALUE - delay) + delay)
                .count();
    }

    /** Says what it asks for in the head of an answer. */
    void describe(HttpFields.Mutable head) {
        limit.ifPresent(perSecond -> head.put("Limit", String.valueOf(perSecond)));
        if (leaving) {
            head.put("Leaving", "1");
        }
    }

    /** A restart of an entry: it has to be told again. */
    void forget(Address entry) {
        toldAt.remove(entry);
        toldThatItLeaves.remove(entry);
        refusals.removeIf(refusal -> refusal.entry.equals(entry));
    }

    void arrived(Address entry) {
        arrivals.add(new Arrival(time.now(), entry));
    }

    /** Requests a second that reached it between two times. */
    double rate(long from, long to) {
        long count = arrivals.stream()
                .filter(arrival -> arrival.at >= from && arrival.at < to)
                .count();
        return count * NANOS_PER_SECOND / (to - from);
    }

    /** By how many requests the worst window since the limit was settled exceeds what is allowed; 0 if none does. */
    double excess(double perSecond, long until) {
        double allowed = MOST_SHARE * perSecond * WINDOW / NANOS_PER_SECOND + SLACK;
        List<Long> counted = arrivals.stream()
                .filter(arrival -> arrival.at < until && isTold(arrival))
                .map(Arrival::at)
                .toList();
        double worst = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(first) <= counted.get(last) - WINDOW) {
                first++;
            }
            if (counted.get(last) >= limitSince + SETTLING) {
                worst = Math.max(worst, last - first + 1 - allowed);
            }
        }
        return worst;
    }

    private boolean isTold(Arrival arrival) {
        return toldAt.getOrDefault(arrival.entry, Long.MAX_VALUE - TOLD) + TOLD <= arrival.at;
    }

    /** Takes note of which entries pass on an answer that names a limit, or that it leaves. */
    UpstreamHandler watch(Address entry, UpstreamHandler handler) {
        return new UpstreamHandler() {
            @Override
            public void onHead(int status, HttpFields headers) {
                if (headers.contains("Limit")) {
                    toldAt.putIfAbsent(entry, time.now());
                }
                if (headers.contains("Leaving")) {
                    toldThatItLeaves.putIfAbsent(entry, time.now());
                }
                handler.onHead(status, headers);
            }

            @Override
            public void onBody(ByteBuffer bytes) {
                handler.onBody(bytes);
            }

            @Override
            public void onComplete() {
                handler.onComplete();
            }

            @Override
            public void onFailed(boolean sent, String reason) {
                handler.onFailed(sent, reason);
            }
        };
    }
}
