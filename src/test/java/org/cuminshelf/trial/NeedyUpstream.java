package org.cuminshelf.trial;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    private static final long WINDOW = Durations.nanos(4_000);
    private static final double MOST_SHARE = 1.5;
    private static final int SLACK = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A request that reached it, and from where. */
    private record Arrival(long at, Address entry) {}

    private final VirtualTime time;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<Address, Long> toldAt = new HashMap<>();
    private OptionalDouble limit = OptionalDouble.empty();
    private long limitSince;

    NeedyUpstream(VirtualTime time) {
        this.time = time;
    }

    OptionalDouble limit() {
        return limit;
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

    /** A restart of an entry: it has to be told again. */
    void forget(Address entry) {
        toldAt.remove(entry);
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

    /** Takes note of which entries pass on an answer that names the limit. */
    UpstreamHandler watch(Address entry, UpstreamHandler handler) {
        return new UpstreamHandler() {
            @Override
            public void onHead(int status, HttpFields headers) {
                if (headers.contains("Limit")) {
                    toldAt.putIfAbsent(entry, time.now());
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
