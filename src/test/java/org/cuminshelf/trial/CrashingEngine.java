package org.cuminshelf.trial;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
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
 * later under a new identity at its address. It may fall silent and go on where it stopped, and lose connections
 * without a reset.
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
    private static final long WHOLE_ANSWER = Durations.nanos(5);
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
        /** Segments of prompts under which engines crash, whatever else a request holds. */
        final Set<String> poisonSegments = new HashSet<>();
        /** When each start was ended by a request with a poison segment, for each of these. */
        private final Map<String, List<Long>> crashesBySegment = new HashMap<>();

        private final List<IntConsumer> crashListeners = new ArrayList<>();
        /** When poison requests arrived, and under which id. */
        final List<Arrival> arrivals = new ArrayList<>();
        /** When each request reached engines, whether or not one began to work on it. */
        final Map<String, List<Long>> deliveries = new LinkedHashMap<>();
        /** The runs of each request. */
        final Map<String, List<RunRecord>> runs = new LinkedHashMap<>();

        private int nextRun = 1;

        private void delivered(String request, long at) {
            deliveries.computeIfAbsent(request, key -> new ArrayList<>()).add(at);
        }

        private RunRecord begin(String request, Address entry, long at, long resumeAfter, String version) {
            RunRecord run = new RunRecord(nextRun++, entry, at, resumeAfter, version);
            runs.computeIfAbsent(request, key -> new ArrayList<>()).add(run);
            return run;
        }

        /** Calls a listener with the number of the crash after each crash under a poison request or segment. */
        void afterCrash(IntConsumer listener) {
            crashListeners.add(listener);
        }

        private void crashed(long at, String segment) {
            crashes.add(at);
            crashesBySegment.computeIfAbsent(segment, key -> new ArrayList<>()).add(at);
            List.copyOf(crashListeners).forEach(listener -> listener.accept(crashes.size()));
        }

        List<Long> crashesUnder(String segment) {
            return crashesBySegment.getOrDefault(segment, List.of());
        }

        /** The poison segment of a request, if it has one. */
        private Optional<String> poisonSegment(UpstreamRequest request) {
            return DirectFleet.segments(request.headers()).stream()
                    .filter(poisonSegments::contains)
                    .findFirst();
        }

        List<RunRecord> runsOf(String request) {
            return runs.getOrDefault(request, List.of());
        }

        /** Requests that arrived after a time; one that several engines had counts once. */
        int requestsAfter(long time) {
            TreeSet<String> ids = new TreeSet<>();
            arrivals.stream().filter(arrival -> arrival.at > time).forEach(arrival -> ids.add(arrival.request));
            return ids.size();
        }
    }

    /** A request that an engine got and that is poison, or has a segment which is; that segment, or an empty text. */
    record Arrival(long at, String request, String segment) {}

    private final class Run implements UpstreamExchange {
        private final UpstreamHandler handler;
        private final Address entry;
        private final String request;
        private final boolean poison;
        private final Optional<String> poisonSegment;
        private final boolean whole;
        private final int events;
        private final long resumeAfter;
        private RunRecord record;
        private int made;
        private boolean over;

        private Run(UpstreamHandler handler, Address entry, UpstreamRequest request, int events) {
            this.handler = handler;
            this.entry = entry;
            this.request = request.headers().get("Id");
            this.poison = new String(request.body(), StandardCharsets.UTF_8).startsWith(POISON);
            this.poisonSegment = records.poisonSegment(request);
            this.whole = request.target().startsWith(DirectFleet.IDEMPOTENT);
            this.events = events;
            this.resumeAfter = Long.parseLong(request.headers().get("Last"));
        }

        private EngineSilence.Phase phase() {
            if (record == null) {
                return EngineSilence.Phase.UNREAD;
            }
            if (whole) {
                return EngineSilence.Phase.WHOLE_ANSWER;
            }
            return made == 0 ? EngineSilence.Phase.BEFORE_HEAD : EngineSilence.Phase.BETWEEN_EVENTS;
        }

        /** Puts a step off to the end of the silences that it falls into. */
        private boolean isPutOff(Runnable step) {
            long until = silences.stream()
                    .filter(silence -> silence.holds(phase(), request))
                    .mapToLong(EngineSilence::untilNanos)
                    .max()
                    .orElse(0);
            if (until <= time.now()) {
                return false;
            }
            stepsPutOff++;
            time.at(until, step);
            return true;
        }

        private boolean isDead() {
            return record != null && record.dead;
        }

        private void begin() {
            if (over || isPutOff(this::begin)) {
                return;
            }
            if (poisonSegment.isPresent() && random.nextBoolean()) {
                handler.onHead(200, head("Seal", "s"));
                sendEvent();
            }
            if (poison || poisonSegment.isPresent()) {
                time.after(SHORTEST_POISONING + random.nextLong(POISONING_SPREAD), this::poisonEngine);
                return;
            }
            record.prefilled = true;
            if (!isDead()) {
                handler.onHead(200, head("Seal", "s"));
            }
            if (whole) {
                time.after(WHOLE_ANSWER, this::answer);
            } else if (records.runsOf(request).stream().anyMatch(run -> run.lastSent)) {
                complete();
            } else {
                event();
            }
        }

        private void answer() {
            if (over || isPutOff(this::answer)) {
                return;
            }
            send("whole " + record.number);
            complete();
        }

        private void poisonEngine() {
            if (!over) {
                records.crashed(time.now(), poisonSegment.orElse(""));
                crash();
            }
        }

        private void event() {
            if (over || made > 0 && isPutOff(this::event)) {
                return;
            }
            sendEvent();
            if (over) {
                return;
            }
            if (made < events) {
                time.after(EVENT_EVERY, this::event);
            } else {
                complete();
            }
        }

        private void sendEvent() {
            made++;
            long id = resumeAfter + made;
            String last = made < events ? "" : " last";
            record.lastSent |= made == events && !isDead();
            send("id: " + id + "\ndata: " + record.number + last + "\n\n");
        }

        private void send(String bytes) {
            if (!isDead()) {
                record.sentAt.add(time.now());
                handler.onBody(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.UTF_8)));
            }
        }

        private void complete() {
            if (over) {
                return;
            }
            record.complete = true;
            end();
            if (!isDead()) {
                handler.onComplete();
            }
        }

        /** Ends the response as a crash does: by a reset, or by an orderly close, at most a part of an event later. */
        private void breakOff(boolean inOrder) {
            if (!inOrder || whole || made == 0) {
                handler.onFailed(true, "closed");
                return;
            }
            String event = "id: " + (resumeAfter + made + 1) + "\ndata: " + record.number + "\n\n";
            String part = event.substring(0, random.nextInt(event.length()));
            if (!part.isEmpty()) {
                handler.onBody(ByteBuffer.wrap(part.getBytes(StandardCharsets.UTF_8)));
            }
            handler.onComplete();
        }

        private void end() {
            over = true;
            runs.remove(this);
            queue.remove(this);
            if (record != null) {
                record.endedAt = time.now();
            }
            runQueued();
        }

        /** Takes a slot. */
        private void run() {
            record = records.begin(request, entry, time.now(), resumeAfter, version);
            runs.add(this);
            time.after(SHORTEST_PROMPT + random.nextLong(PROMPT_SPREAD), this::begin);
        }

        private void reject() {
            over = true;
            handler.onHead(503, head("Not-Run", "1"));
            handler.onComplete();
        }

        @Override
        public void cancel() {
            if (!isDead()) {
                end();
            }
        }
    }

    private final Address address;
    private final String service;
    private final VirtualTime time;
    private final VirtualNetwork network;
    private final UniformRandomProvider random;
    private final List<Address> control;
    private final Records records;
    /** What it asks of entries, and what they do about it. */
    final NeedyUpstream needs;

    private Role role = Role.ROLE_DECODE;
    /** Version of the software of its present start, and of the starts after it. */
    private String version = "";

    private String nextVersion = "";

    /** Slots that it states; it takes any number of requests unless {@link #limitSlots} was called. */
    private int slots = 64;

    private int maxRunning = Integer.MAX_VALUE;
    private int maxQueued;
    private final List<Run> runs = new ArrayList<>();
    /** Requests that wait for a slot, in the order of their arrival. */
    private final List<Run> queue = new ArrayList<>();

    private final List<EngineSilence> silences = new ArrayList<>();
    /** Steps of runs that fell into a silence. */
    int stepsPutOff;

    /** Whether its answers state no length, and a crash closes their connections in order. */
    boolean closesInOrder;

    private int starts;
    private long sequence;
    private boolean up;

    CrashingEngine(
            Address address,
            String service,
            VirtualTime time,
            VirtualNetwork network,
            UniformRandomProvider random,
            List<Address> control,
            Records records) {
        this.address = address;
        this.service = service;
        this.time = time;
        this.network = network;
        this.random = random;
        this.control = control;
        this.records = records;
        this.needs = new NeedyUpstream(time);
    }

    private HttpFields.Mutable head(String name, String value) {
        HttpFields.Mutable head = HttpFields.build().put(name, value);
        if (!closesInOrder) {
            head.put("Transfer-Encoding", "chunked");
        }
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

    /** Runs no more requests than it has slots, queues a few and rejects the others as not run. */
    void limitSlots(int limit, int queued) {
        slots = limit;
        maxRunning = limit;
        maxQueued = queued;
    }

    private void runQueued() {
        if (up && !queue.isEmpty() && runs.size() < maxRunning) {
            queue.removeFirst().run();
        }
    }

    /** Runs a version of its software, from its next start on. */
    void useVersion(String next) {
        nextVersion = next;
    }

    String version() {
        return version;
    }

    boolean isUp() {
        return up;
    }

    void start() {
        starts++;
        version = nextVersion;
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
                .setService(service)
                .setAddress(address.value())
                .setZone("z")
                .setSequence(++sequence)
                .setSlots(slots)
                .setRole(role)
                .setVersion(version)
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
        List<Run> cut = open();
        cut.forEach(run -> {
            run.end();
            time.after(random.nextLong(BREAK_SPREAD), () -> run.breakOff(closesInOrder));
        });
        time.after(SHORTEST_OUTAGE + random.nextLong(OUTAGE_SPREAD), this::start);
    }

    /** Requests that run or wait for a slot. */
    private List<Run> open() {
        List<Run> open = new ArrayList<>(runs);
        open.addAll(queue);
        return open;
    }

    /** Breaks all connections, without ending. */
    void resetConnections() {
        List<Run> cut = open();
        cut.forEach(run -> {
            run.end();
            time.after(random.nextLong(BREAK_SPREAD), () -> run.handler.onFailed(true, "reset"));
        });
    }

    /** Says nothing for a while to the requests that the silence concerns, and goes on where it stopped. */
    void fallSilent(EngineSilence silence) {
        silences.removeIf(earlier -> earlier.untilNanos() <= time.now());
        silences.add(silence);
    }

    /** Lets the connection of one running request die without a reset; new connections work. */
    void killConnection(long lot) {
        List<Run> living = runs.stream().filter(run -> !run.isDead()).toList();
        if (!living.isEmpty()) {
            living.get(Math.floorMod(lot, living.size())).record.dead = true;
        }
    }

    /** Sees all connections of an entry closed, as its process ended. */
    void onEntryGone(Address entry) {
        open().stream().filter(run -> run.entry.equals(entry)).forEach(Run::end);
    }

    void probe(Consumer<Reachability> whenSeen) {
        time.after(HOP, () -> whenSeen.accept(up ? Reachability.LISTENING : Reachability.REFUSED));
    }

    UpstreamExchange send(Address entry, String upstream, UpstreamRequest request, UpstreamHandler answers) {
        UpstreamHandler handler = needs.watch(entry, answers);
        Run run = new Run(handler, entry, request, FEWEST_EVENTS + random.nextInt(EVENTS_SPREAD));
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
        if (up && !run.over) {
            records.delivered(run.request, time.now());
        }
        read(entry, upstream, request, run);
    }

    private void read(Address entry, String upstream, UpstreamRequest request, Run run) {
        if (run.over || up && run.isPutOff(() -> read(entry, upstream, request, run))) {
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
            if (run.poison || run.poisonSegment.isPresent()) {
                records.arrivals.add(
                        new Arrival(time.now(), request.headers().get("Id"), run.poisonSegment.orElse("")));
            }
            admit(run);
        }
    }

    private void admit(Run run) {
        if (runs.size() < maxRunning) {
            run.run();
        } else if (queue.size() < maxQueued) {
            queue.add(run);
        } else {
            run.reject();
        }
    }
}
