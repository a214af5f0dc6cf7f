package org.cuminshelf.trial;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;
import org.eclipse.jetty.http.HttpFields;

/**
 * An engine that streams answers, ends with all its runs when a poison request begins to run, and is back some seconds
 * later under a new identity at its address.
 */
final class CrashingEngine {

    /** Body of requests that end the engine which runs them. */
    static final String POISON = "poison";

    private static final long HEARTBEAT = Durations.nanos(1_200);
    private static final long HOP = Durations.nanos(1);
    private static final long BREAK_SPREAD = Durations.nanos(4);
    private static final long SHORTEST_PROMPT = Durations.nanos(20);
    private static final long PROMPT_SPREAD = Durations.nanos(80);
    private static final long EVENT_EVERY = Durations.nanos(30);
    private static final int FEWEST_EVENTS = 3;
    private static final int EVENTS_SPREAD = 40;
    private static final long SHORTEST_POISONING = Durations.nanos(5);
    private static final long POISONING_SPREAD = Durations.nanos(115);
    private static final long SHORTEST_OUTAGE = Durations.nanos(2_500);
    private static final long OUTAGE_SPREAD = Durations.nanos(1_000);

    /** What all engines of a fleet saw of poison requests. */
    static final class Records {
        /** When each start was ended by a poison request. */
        final List<Long> crashes = new ArrayList<>();
        /** When poison requests arrived, and under which id. */
        final List<Arrival> arrivals = new ArrayList<>();

        /** Requests that arrived after a time; one that several engines had counts once. */
        int requestsAfter(long time) {
            TreeSet<String> ids = new TreeSet<>();
            arrivals.stream().filter(arrival -> arrival.at > time).forEach(arrival -> ids.add(arrival.request));
            return ids.size();
        }
    }

    /** A poison request that an engine got. */
    record Arrival(long at, String request) {}

    private final class Run implements UpstreamExchange {
        private final UpstreamHandler handler;
        private final boolean poison;
        private final int events;
        private final long resumeAfter;
        private int made;
        private boolean over;

        private Run(UpstreamHandler handler, boolean poison, int events, long resumeAfter) {
            this.handler = handler;
            this.poison = poison;
            this.events = events;
            this.resumeAfter = resumeAfter;
        }

        private void begin() {
            if (over) {
                return;
            }
            if (poison) {
                time.after(SHORTEST_POISONING + random.nextLong(POISONING_SPREAD), this::poisonEngine);
                return;
            }
            handler.onHead(200, head("Seal", "s"));
            event();
        }

        private void poisonEngine() {
            if (!over) {
                records.crashes.add(time.now());
                crash();
            }
        }

        private void event() {
            if (over) {
                return;
            }
            made++;
            long id = resumeAfter + made;
            handler.onBody(ByteBuffer.wrap(("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8)));
            if (made < events) {
                time.after(EVENT_EVERY, this::event);
            } else {
                over = true;
                runs.remove(this);
                handler.onComplete();
            }
        }

        @Override
        public void cancel() {
            over = true;
            runs.remove(this);
        }
    }

    private final Address address;
    private final VirtualTime time;
    private final VirtualNetwork network;
    private final UniformRandomProvider random;
    private final List<Address> control;
    private final Records records;
    /** What it asks of entries, and what they do about it. */
    final NeedyUpstream needs;

    private Role role = Role.ROLE_DECODE;

    private final List<Run> runs = new ArrayList<>();
    private int starts;
    private long sequence;
    private boolean up;

    CrashingEngine(
            Address address,
            VirtualTime time,
            VirtualNetwork network,
            UniformRandomProvider random,
            List<Address> control,
            Records records) {
        this.address = address;
        this.time = time;
        this.network = network;
        this.random = random;
        this.control = control;
        this.records = records;
        this.needs = new NeedyUpstream(time);
    }

    private HttpFields.Mutable head(String name, String value) {
        HttpFields.Mutable head = HttpFields.build().put(name, value);
        needs.describe(head);
        return head;
    }

    Address address() {
        return address;
    }

    /** Has a role that is never changed. */
    void mixed() {
        role = Role.ROLE_MIXED;
    }

    boolean isUp() {
        return up;
    }

    void start() {
        starts++;
        sequence = 0;
        up = true;
        beat(starts);
    }

    private String identity() {
        return address.value() + "-" + starts;
    }

    private void beat(int ofStart) {
        if (!up || ofStart != starts) {
            return;
        }
        UpstreamBeat beat = UpstreamBeat.newBuilder()
                .setId(identity())
                .setName(identity())
                .setService(DirectFleet.SERVICE)
                .setAddress(address.value())
                .setZone("z")
                .setSequence(++sequence)
                .setSlots(64)
                .setRole(role)
                .build();
        Address to = control.get(random.nextInt(control.size()));
        network.send(
                address,
                to,
                Envelope.newBuilder()
                        .setFrom(address.value())
                        .setUpstreamBeat(beat)
                        .build(),
                false);
        time.after(HEARTBEAT, () -> beat(ofStart));
    }

    /** Ends, with all that runs here; every connection breaks within milliseconds. */
    void crash() {
        up = false;
        List<Run> cut = List.copyOf(runs);
        runs.clear();
        cut.forEach(run -> {
            run.over = true;
            time.after(random.nextLong(BREAK_SPREAD), () -> run.handler.onFailed(true, "closed"));
        });
        time.after(SHORTEST_OUTAGE + random.nextLong(OUTAGE_SPREAD), this::start);
    }

    /** Breaks all connections, without ending. */
    void resetConnections() {
        List<Run> cut = List.copyOf(runs);
        runs.clear();
        cut.forEach(run -> {
            run.over = true;
            time.after(random.nextLong(BREAK_SPREAD), () -> run.handler.onFailed(true, "reset"));
        });
    }

    void probe(Consumer<Reachability> whenSeen) {
        time.after(HOP, () -> whenSeen.accept(up ? Reachability.LISTENING : Reachability.REFUSED));
    }

    UpstreamExchange send(Address entry, String upstream, UpstreamRequest request, UpstreamHandler answers) {
        UpstreamHandler handler = needs.watch(entry, answers);
        String body = new String(request.body(), StandardCharsets.UTF_8);
        boolean poison = body.startsWith(POISON);
        long resumeAfter = Long.parseLong(request.headers().get("Last"));
        Run run = new Run(handler, poison, FEWEST_EVENTS + random.nextInt(EVENTS_SPREAD), resumeAfter);
        time.after(HOP, () -> arrive(entry, upstream, request, run));
        return run;
    }

    private boolean refused(Address entry, Run run) {
        Optional<HttpFields.Mutable> refusal = needs.refusal(entry);
        refusal.ifPresent(head -> {
            run.over = true;
            run.handler.onHead(503, head);
            run.handler.onComplete();
        });
        return refusal.isPresent();
    }

    private void arrive(Address entry, String upstream, UpstreamRequest request, Run run) {
        if (run.over) {
            return;
        }
        if (up) {
            needs.arrived(entry);
        }
        if (!up) {
            run.over = true;
            run.handler.onFailed(false, "refused");
        } else if (!upstream.equals(identity())) {
            run.over = true;
            run.handler.onHead(421, HttpFields.build().put("Not-Run", "1").put("Start", identity()));
            run.handler.onComplete();
        } else if (!refused(entry, run)) {
            if (run.poison) {
                records.arrivals.add(new Arrival(time.now(), request.headers().get("Id")));
            }
            runs.add(run);
            time.after(SHORTEST_PROMPT + random.nextLong(PROMPT_SPREAD), run::begin);
        }
    }
}
