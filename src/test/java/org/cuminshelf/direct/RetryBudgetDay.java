package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;

/**
 * A day of several entries before scripted engines in virtual time, of which each arrival at an engine is recorded.
 * Entries restart, stand still and are told lists of entries; engines break, reject and lose KV caches.
 */
final class RetryBudgetDay {

    static final RetryLimits LIMITS = new RetryLimits(0.2, 56, 10_000);
    /** When the first callers come; an entry that has just started queues calls for engines that it has not found. */
    static final long TRAFFIC_NANOS = Durations.nanos(15_000);

    private static final List<String> PREFILL_ENGINES = List.of("p1", "p2", "p3");
    private static final List<String> DECODE_ENGINES = List.of("d1", "d2", "d3", "d4", "d5", "d6");
    private static final int ATTEMPTS = 3;
    private static final String DEADLINE_MILLIS = "8000";
    private static final int MIN_TOKENS = 500;
    private static final int MAX_TOKENS = 9_000;
    private static final int EVENTS = 4;
    private static final long EVENT_MILLIS = 25;
    private static final long CONTROL_MILLIS = 500;
    private static final long SHORTEST_STEP_NANOS = Durations.nanos(1);

    /**
     * What engines do.
     *
     * @param breaks  share of runs that break before the first event
     * @param breaksLater share of runs that break after it
     * @param rejects share of runs, and of prefills, that are rejected as not run
     * @param lapses  share of KV caches that are gone when they are fetched
     * @param delays  share of the requests that arrive up to 1.5 s late
     */
    record Engines(double breaks, double breaksLater, double rejects, double lapses, double delays) {}

    /** An arrival at an engine. */
    private record Arrival(long at, boolean prefill, boolean[] accepted) {}

    private record Event(long at, long order, Runnable step) {}

    /** An entry, which may be started again. */
    private final class Entry {
        private final int number;
        private DirectFixture fixture;
        private int handledSends;
        private boolean down;
        private long stillUntil;

        private Entry(int number) {
            this.number = number;
            start();
        }

        private void start() {
            down = false;
            fixture = new DirectFixture(
                    now,
                    LIMITS,
                    Organisations.unrestricted(),
                    DirectFixture.patientRoute(RequestKind.STREAM, ATTEMPTS));
            handledSends = 0;
            fixture.becomeReady();
            PREFILL_ENGINES.forEach(engine -> add(engine, Role.ROLE_PREFILL, 5, 20));
            DECODE_ENGINES.forEach(engine -> add(engine, Role.ROLE_DECODE, 10, 60));
        }

        private void add(String engine, Role role, double latencyMillis, double millisPerThousand) {
            fixture.addUpstream(engine, role);
            fixture.reportPrefillTimes(engine, role, latencyMillis, millisPerThousand);
        }

        private boolean isRunning() {
            return !down && now >= stillUntil;
        }

        /** Has it look at its timers up to now, and schedules what it has sent. */
        private void look() {
            if (!isRunning()) {
                return;
            }
            while (fixture.now < now && fixture.core.nextDue() < now) {
                fixture.now = Math.min(now, Math.max(fixture.now + SHORTEST_STEP_NANOS, fixture.core.nextDue()));
                fixture.core.tick(fixture.now, fixture.out);
            }
            fixture.now = now;
            fixture.core.tick(now, fixture.out);
            while (handledSends < fixture.sentRequests.size()) {
                travel(this, fixture, fixture.sentRequests.get(handledSends));
                handledSends++;
            }
        }
    }

    private final UniformRandomProvider random;
    private final Engines engines;
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<Long> requests = new ArrayList<>();
    private final Map<String, List<Arrival>> arrivals = new LinkedHashMap<>();
    private final int callsPerSecond;
    private long now;
    private long nextOrder;
    private int answered;
    /** Number of entries that control lists; all if it is zero. */
    private int listed;

    RetryBudgetDay(long seed, int entryCount, int callsPerSecond, Engines engines) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.engines = engines;
        this.callsPerSecond = callsPerSecond;
        for (int number = 0; number < entryCount; number++) {
            entries.add(new Entry(number));
        }
        at(0, this::tellEntries);
        at(TRAFFIC_NANOS, this::ask);
    }

    private void at(long time, Runnable step) {
        events.add(new Event(Math.max(now, time), nextOrder++, step));
    }

    private void afterMillis(long millis, Runnable step) {
        at(now + Durations.nanos(millis), step);
    }

    /** Kills all entries with some chance each at a time, and starts them again. */
    void kill(long atMillis, double share, long downMillis) {
        at(
                Durations.nanos(atMillis),
                () -> entries.stream()
                        .filter(entry -> !entry.down && random.nextDouble() < share)
                        .forEach(entry -> {
                            entry.down = true;
                            afterMillis(downMillis, entry::start);
                        }));
    }

    /** Lets some entries stand still for a while. */
    void standStill(long atMillis, double share, long forMillis) {
        at(
                Durations.nanos(atMillis),
                () -> entries.stream()
                        .filter(entry -> random.nextDouble() < share)
                        .forEach(entry -> entry.stillUntil = now + Durations.nanos(forMillis)));
    }

    /** Has control list only so many entries between two times. */
    void listFew(long fromMillis, long untilMillis, int count) {
        at(Durations.nanos(fromMillis), () -> listed = count);
        at(Durations.nanos(untilMillis), () -> listed = 0);
    }

    private void tellEntries() {
        int count = listed == 0 ? entries.size() : listed;
        String[] addresses = new String[count];
        for (int number = 0; number < count; number++) {
            addresses[number] = "10.0.1." + (number + 1) + ":7000";
        }
        entries.stream().filter(Entry::isRunning).forEach(entry -> {
            entry.look();
            entry.fixture.sendUpdate(
                    Update.newBuilder().addAllEntryAddresses(List.of(addresses)).setEntriesHash(count));
        });
        afterMillis(CONTROL_MILLIS, this::tellEntries);
    }

    private void ask() {
        Entry entry = entries.get(random.nextInt(entries.size()));
        String id = "q" + requests.size();
        requests.add(now);
        int tokens = MIN_TOKENS + random.nextInt(MAX_TOKENS - MIN_TOKENS);
        if (entry.isRunning()) {
            entry.look();
            entry.fixture.sendRequest(id, "Tokens", String.valueOf(tokens), "Deadline", DEADLINE_MILLIS);
        }
        at(now + (long) (2 * random.nextDouble() * Durations.nanos(1_000) / callsPerSecond), this::ask);
    }

    private void travel(Entry entry, DirectFixture fixture, DirectFixture.SentRequest sent) {
        if (sent.request.method().equals("DELETE")) {
            return;
        }
        boolean late = random.nextDouble() < engines.delays();
        afterMillis(late ? random.nextInt(1_500) : 1, () -> arrive(entry, fixture, sent));
    }

    private void arrive(Entry entry, DirectFixture fixture, DirectFixture.SentRequest sent) {
        if (sent.cancelled) {
            return;
        }
        boolean prefill = sent.request.headers().get("Prefill").equals("true");
        boolean rejected = random.nextDouble() < engines.rejects();
        boolean lapsed = sent.request.headers().contains("Cache") && random.nextDouble() < engines.lapses();
        boolean[] accepted = {!rejected && !lapsed};
        arrivals.computeIfAbsent(sent.request.headers().get("Request"), id -> new ArrayList<>())
                .add(new Arrival(now, prefill, accepted));
        if (!accepted[0]) {
            reply(entry, fixture, sent, 2, () -> {
                sent.respondHead(503, "Not-Run", "1");
                sent.handler.onComplete();
            });
        } else if (prefill) {
            reply(entry, fixture, sent, 20 + random.nextInt(100), () -> {
                sent.respondHead(200);
                sent.respondBody("kv");
                sent.handler.onComplete();
            });
        } else if (random.nextDouble() < engines.breaks()) {
            reply(entry, fixture, sent, 5 + random.nextInt(60), () -> sent.handler.onFailed(true, "reset"));
        } else {
            boolean breaks = random.nextDouble() < engines.breaksLater();
            long first = 20 + random.nextInt(60);
            reply(entry, fixture, sent, first, () -> sent.respondSealedHead(200));
            stream(entry, fixture, sent, first, breaks);
        }
    }

    private void stream(
            Entry entry, DirectFixture fixture, DirectFixture.SentRequest sent, long firstMillis, boolean breaks) {
        long after = sent.request.headers().contains("Last")
                ? Long.parseLong(sent.request.headers().get("Last"))
                : 0;
        int count = breaks ? 1 : EVENTS;
        for (int number = 1; number <= count; number++) {
            String event = "id: " + (after + number) + "\ndata: x\n\n";
            reply(entry, fixture, sent, firstMillis + number * EVENT_MILLIS, () -> sent.respondBody(event));
        }
        reply(entry, fixture, sent, firstMillis + (count + 1) * EVENT_MILLIS, () -> {
            if (breaks) {
                sent.handler.onFailed(true, "reset");
            } else {
                answered++;
                sent.handler.onComplete();
            }
        });
    }

    /** Hands a reply to an entry if it lives; one that stands still gets it when it goes on. */
    private void reply(
            Entry entry, DirectFixture fixture, DirectFixture.SentRequest sent, long millis, Runnable reply) {
        afterMillis(millis, () -> deliver(entry, fixture, sent, reply));
    }

    private void deliver(Entry entry, DirectFixture fixture, DirectFixture.SentRequest sent, Runnable reply) {
        if (entry.down || entry.fixture != fixture || sent.cancelled) {
            return;
        }
        if (!entry.isRunning()) {
            at(entry.stillUntil, () -> deliver(entry, fixture, sent, reply));
            return;
        }
        entry.look();
        reply.run();
        entry.look();
    }

    /** Lets the day pass up to a time. */
    RetryBudgetDay play(long untilMillis) {
        long until = Durations.nanos(untilMillis);
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event next = events.poll();
            now = next.at();
            entries.forEach(Entry::look);
            next.step().run();
            entries.forEach(Entry::look);
        }
        return this;
    }

    /** Returns the count of what arrived beyond the first of each request, the first accepted prefill apart. */
    RetryCount count() {
        List<Long> repeats = new ArrayList<>();
        arrivals.values().forEach(ofRequest -> {
            List<Arrival> counted = new ArrayList<>(ofRequest);
            ofRequest.stream()
                    .filter(arrival -> arrival.prefill() && arrival.accepted()[0])
                    .findFirst()
                    .ifPresent(counted::remove);
            counted.stream().skip(1).forEach(arrival -> repeats.add(arrival.at()));
        });
        return RetryCount.of(LIMITS, 1, requests, repeats);
    }

    /** Returns the number of requests by their arrivals: {@code p} for each prefill and {@code r} for each run. */
    Map<String, Integer> patterns() {
        Map<String, Integer> patterns = new TreeMap<>();
        arrivals.values().forEach(ofRequest -> {
            StringBuilder pattern = new StringBuilder();
            ofRequest.forEach(arrival -> pattern.append(arrival.prefill() ? 'p' : 'r'));
            patterns.merge(pattern.toString(), 1, Integer::sum);
        });
        return patterns;
    }

    int answered() {
        return answered;
    }

    int asked() {
        return requests.size();
    }
}
