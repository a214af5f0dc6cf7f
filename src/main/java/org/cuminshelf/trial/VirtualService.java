package org.cuminshelf.trial;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.ExchangeHead;
import org.cuminshelf.message.Header;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamHead;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.message.UpstreamState;

/** A registry in virtual time that gives a number each time it runs, and outlives its sidecar. */
final class VirtualService {

    /** Header that names the call, so that a run can be laid to it. */
    static final String CALL_HEADER = "X-Call";

    private static final long STATE_EVERY = Durations.nanos(500);
    private static final long SHORTEST = Durations.nanos(1);
    private static final long SPREAD = Durations.nanos(40);
    private static final long LONG_SPREAD = Durations.nanos(3_000);

    /** What all services of a run gave out. */
    static final class Registry {

        private final Map<String, Integer> runsByCall = new HashMap<>();
        private final Map<String, Integer> runsByTitle = new HashMap<>();
        private final Map<String, Long> numbers = new HashMap<>();
        private final Set<String> brokenTitles = new HashSet<>();
        private long nextNumber = 1;

        int runsOfCall(String call) {
            return runsByCall.getOrDefault(call, 0);
        }

        int runsOfTitle(String title) {
            return runsByTitle.getOrDefault(title, 0);
        }

        long numberOf(String title) {
            return numbers.getOrDefault(title, 0L);
        }

        /** Whether a service broke off a run of a title, so that no caller can be told its number. */
        boolean isBroken(String title) {
            return brokenTitles.contains(title);
        }

        private long run(String call, String title) {
            runsByCall.merge(call, 1, Integer::sum);
            runsByTitle.merge(title, 1, Integer::sum);
            long number = nextNumber++;
            numbers.putIfAbsent(title, number);
            return number;
        }
    }

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final VirtualNode sidecar;
    private final UpstreamLink link;
    private final Registry registry;

    VirtualService(VirtualTime time, UniformRandomProvider random, VirtualNode sidecar, Registry registry) {
        this.time = time;
        this.random = random;
        this.sidecar = sidecar;
        this.link = new UpstreamLink(time, sidecar);
        this.registry = registry;
        time.after(random.nextLong(STATE_EVERY), this::publishState);
    }

    UpstreamLink link() {
        return link;
    }

    void handle(Envelope message) {
        if (message.hasStartUpstream()) {
            long incarnation = message.getIncarnation();
            time.after(delay(), () -> run(incarnation, message.getStartUpstream()));
        }
    }

    private long delay() {
        boolean slow = random.nextInt(50) == 0;
        return SHORTEST + random.nextLong(slow ? LONG_SPREAD : SPREAD);
    }

    private void run(long incarnation, StartUpstream start) {
        int luck = random.nextInt(100);
        if (luck == 0) {
            end(incarnation, start.getAttempt(), Ran.NOT_RUN, Cause.CONNECT_FAILED);
            return;
        }
        Exchange exchange = start.getExchange();
        String call = exchange.getHeadersList().stream()
                .filter(header -> header.getName().equals(CALL_HEADER))
                .map(Header::getValue)
                .findFirst()
                .orElse("");
        long number = registry.run(call, exchange.getBody().toStringUtf8());
        if (luck == 1) {
            registry.brokenTitles.add(exchange.getBody().toStringUtf8());
            end(incarnation, start.getAttempt(), Ran.MAY_HAVE_RUN, Cause.CONNECTION_BROKEN);
            return;
        }
        time.after(delay(), () -> answer(incarnation, start.getAttempt(), number));
    }

    private void answer(long incarnation, long attempt, long number) {
        UpstreamHead head = UpstreamHead.newBuilder()
                .setAttempt(attempt)
                .setHead(ExchangeHead.newBuilder().setStatus(200))
                .build();
        UpstreamPart part = UpstreamPart.newBuilder()
                .setAttempt(attempt)
                .setBody(ByteString.copyFromUtf8(Long.toString(number)))
                .build();
        link.send(incarnation, attempt, Envelope.newBuilder().setUpstreamHead(head));
        link.send(incarnation, attempt, Envelope.newBuilder().setUpstreamPart(part));
        end(incarnation, attempt, Ran.RAN, Cause.CAUSE_NONE);
    }

    private void end(long incarnation, long attempt, Ran ran, Cause cause) {
        UpstreamEnd end = UpstreamEnd.newBuilder()
                .setAttempt(attempt)
                .setRan(ran)
                .setCause(cause)
                .build();
        link.send(incarnation, attempt, Envelope.newBuilder().setUpstreamEnd(end));
    }

    private void publishState() {
        UpstreamState state = UpstreamState.newBuilder().setReachable(true).build();
        link.send(
                sidecar.incarnation(),
                UpstreamLink.NO_ATTEMPT,
                Envelope.newBuilder().setUpstreamState(state));
        time.after(STATE_EVERY, this::publishState);
    }
}
