package org.cuminshelf.direct;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;

/**
 * Engines in virtual time, as a {@link DirectFixture} sees them: each generates for all its streams in steps, and
 * prefills prompts one after the other in chunks between them. While one prefills, each step takes longer by one chunk.
 */
final class SimulatedEngines {

    static final int SLOTS = 64;
    private static final double CONSTANT_MILLIS = 40;
    private static final double MILLIS_PER_STREAM = 1.2;
    private static final double CHUNK_MILLIS = 60;
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.025;
    private static final double HANDOVER_MILLIS = 10;

    /** A request at an engine. */
    private static final class Running {
        private final Engine engine;
        private final DirectFixture.SentRequest sent;
        /** Milliseconds until its prompt or its KV cache is there. */
        private double loadMillis;

        private double untilEvent = 1;
        private int events;
        private long lastEventAt;
        private long longestGapMillis;

        private Running(Engine engine, DirectFixture.SentRequest sent, double loadMillis) {
            this.engine = engine;
            this.sent = sent;
            this.loadMillis = loadMillis;
        }
    }

    /** One engine. A speed of 0 means that it hangs. */
    final class Engine {
        private final String id;
        private final Deque<Running> prompts = new ArrayDeque<>();
        private final List<Running> transfers = new ArrayList<>();
        private final List<Running> streams = new ArrayList<>();
        double speed;
        /** Requests that it has got so far. */
        int received;

        private Engine(String id, double speed) {
            this.id = id;
            this.speed = speed;
        }

        int streams() {
            return streams.size();
        }

        private void add(DirectFixture.SentRequest sent) {
            received++;
            if (sent.request.headers().contains("Cache")) {
                transfers.add(new Running(this, sent, HANDOVER_MILLIS));
            } else {
                prompts.add(new Running(this, sent, promptTokens * PREFILL_MILLIS_PER_TOKEN));
            }
        }

        /** Processes one millisecond. */
        private void step() {
            double intervalMillis =
                    CONSTANT_MILLIS + MILLIS_PER_STREAM * streams.size() + (prompts.isEmpty() ? 0 : CHUNK_MILLIS);
            List.copyOf(streams).forEach(stream -> generate(stream, speed / intervalMillis));
            load(prompts.peek());
            List.copyOf(transfers).forEach(this::load);
        }

        private void load(Running running) {
            if (running == null || running.sent.cancelled) {
                prompts.remove(running);
                transfers.remove(running);
                return;
            }
            running.loadMillis -= speed;
            if (running.loadMillis > 0) {
                return;
            }
            prompts.remove(running);
            transfers.remove(running);
            if (running.sent.request.headers().get("Prefill").equals("true")) {
                running.sent.respond(200, "handle");
                return;
            }
            running.sent.respondSealedHead(200);
            running.lastEventAt = nowMillis;
            streams.add(running);
            sendEvent(running);
        }

        private void generate(Running stream, double progress) {
            stream.untilEvent -= progress;
            if (stream.sent.cancelled) {
                streams.remove(stream);
            } else if (stream.untilEvent <= 0) {
                stream.untilEvent += 1;
                sendEvent(stream);
            }
        }

        private void sendEvent(Running stream) {
            stream.longestGapMillis = Math.max(stream.longestGapMillis, nowMillis - stream.lastEventAt);
            stream.lastEventAt = nowMillis;
            stream.events++;
            stream.sent.respondBody("id: " + stream.events + "\ndata: a\n\n");
            if (stream.events == eventsPerStream) {
                streams.remove(stream);
                ended.add(stream);
                stream.sent.handler.onComplete();
            }
        }
    }

    final DirectFixture entry;
    final Map<String, Engine> engines = new LinkedHashMap<>();
    private final List<Running> ended = new ArrayList<>();
    private final int promptTokens;
    private final int eventsPerStream;
    private int received;
    private int requests;
    private int directoryVersion;
    private double untilRequest;
    private long nowMillis;

    SimulatedEngines(DirectFixture entry, int promptTokens, int eventsPerStream) {
        this.entry = entry;
        this.promptTokens = promptTokens;
        this.eventsPerStream = eventsPerStream;
        entry.advance(5_000);
    }

    SimulatedEngines add(String id, Role role, double speed) {
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat(id, role).toBuilder().setSlots(SLOTS)));
        engines.put(id, new Engine(id, speed));
        return this;
    }

    /** Lets time pass in which callers send requests at a rate. */
    void run(long millis, double requestsPerSecond) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            untilRequest -= requestsPerSecond / 1e3;
            for (; untilRequest < 0; untilRequest++) {
                send();
            }
            nowMillis++;
            entry.advance(1);
            engines.values().forEach(Engine::step);
            takeSent();
        }
    }

    private void send() {
        entry.sendRequest("q" + requests++, "Tokens", String.valueOf(promptTokens), "Shared", "1", "Deadline", "8000");
        takeSent();
    }

    private void takeSent() {
        for (; received < entry.sentRequests.size(); received++) {
            DirectFixture.SentRequest sent = entry.sentRequests.get(received);
            engines.get(sent.upstream).add(sent);
        }
    }

    /** Returns the interval between two events at speed 1, without prefill. */
    static double intervalMillis(int streams) {
        return CONSTANT_MILLIS + MILLIS_PER_STREAM * streams;
    }

    /** Forgets the streams that have ended. */
    void clearEnded() {
        ended.clear();
    }

    int endedStreams() {
        return ended.size();
    }

    /** Returns the share of the ended streams without a gap beyond the limit of their route. */
    double shareInTime() {
        return (double) ended.stream()
                        .filter(stream -> stream.longestGapMillis <= DirectFixture.PAUSE_MILLIS)
                        .count()
                / ended.size();
    }

    /** Returns the ended streams that an engine has generated. */
    long endedAt(String id) {
        return ended.stream().filter(stream -> stream.engine.id.equals(id)).count();
    }
}
