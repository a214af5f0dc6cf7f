package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.WeightedService;

/**
 * An entry, engines that prefill prompts one after the other, and callers that send prompts of several kinds at random
 * times and retry once if they are refused.
 */
final class OverloadedEntry {

    private static final double MILLIS_PER_TOKEN = 1 / 40.0;
    private static final int TARGET_MILLIS = 800;
    private static final int SLOTS = 64;

    /** Calls of one route and caller. */
    static final class Load {
        final String path;
        final int tokens;
        final List<String> headers;
        double perSecond;
        int requests;
        int answered;
        double value;

        Load(String route, int tokens, double perSecond, String... headers) {
            this.path = "/" + route + "/x";
            this.tokens = tokens;
            this.perSecond = perSecond;
            this.headers = List.of(headers);
        }

        void startCounting() {
            requests = 0;
            answered = 0;
            value = 0;
        }

        double share() {
            return (double) answered / requests;
        }

        double valueShare() {
            return value / requests;
        }

        @Override
        public String toString() {
            return "%s %.0f/s: %.3f answered, %.3f value".formatted(path, perSecond, share(), valueShare());
        }
    }

    private record Attempt(DirectFixture.CallerResponse response, Load load, long begunAt, boolean isRetry) {}

    private record Prefill(DirectFixture.SentRequest sent, long endsAt) {}

    private record Retry(Load load, long begunAt, long at) {}

    final DirectFixture entry;
    /** Status with which engines answer the prompts of a route, if not with success. */
    final Map<String, Integer> failures = new HashMap<>();

    private final UniformRandomProvider random;
    private final long[] engineFreeAt;
    private final PriorityQueue<Prefill> prefills = new PriorityQueue<>(Comparator.comparingLong(Prefill::endsAt));
    private final PriorityQueue<Retry> retries = new PriorityQueue<>(Comparator.comparingLong(Retry::at));
    private final Map<String, Attempt> open = new LinkedHashMap<>();
    private int number;

    OverloadedEntry(long seed, int engines, Organisations organisations, Route... routes) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        entry = new DirectFixture(organisations, routes).becomeReady();
        engineFreeAt = new long[engines];
        entry.advance(5_000);
        Update.Builder update = Update.newBuilder().setDirectoryIncarnation(1).setDirectoryVersion(1);
        for (int engine = 0; engine < engines; engine++) {
            UpstreamBeat beat = DirectFixture.heartbeat("d" + engine, Role.ROLE_DECODE);
            update.addUpstreams(beat.toBuilder().setSlots(SLOTS));
        }
        entry.sendUpdate(update);
        entry.reportPrefillTimes("d0", Role.ROLE_DECODE, 5, 1_000 * MILLIS_PER_TOKEN);
    }

    static Route route(String name, int priority) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                RequestKind.STREAM,
                8_000,
                TARGET_MILLIS,
                priority,
                List.of(new WeightedService("s", 1)),
                1,
                false,
                0,
                false);
    }

    /** Lets the callers send for some time, in milliseconds. */
    void run(int millis, Load... loads) {
        for (int step = 0; step < millis; step++) {
            for (Load load : loads) {
                if (random.nextDouble() < load.perSecond / 1_000) {
                    load.requests++;
                    send(load, entry.now, false);
                }
            }
            while (!retries.isEmpty() && retries.peek().at <= entry.now) {
                Retry retry = retries.poll();
                send(retry.load, retry.begunAt, true);
            }
            entry.advance(1);
            startPrefills();
            completePrefills();
            open.values().removeIf(this::hasEnded);
        }
    }

    private void send(Load load, long begunAt, boolean isRetry) {
        String id = "q" + number++;
        List<String> headers = new ArrayList<>(List.of("Tokens", String.valueOf(load.tokens), "Deadline", "8000"));
        headers.addAll(load.headers);
        DirectFixture.CallerResponse response = entry.sendRequestTo(load.path, id, headers.toArray(String[]::new));
        open.put(id, new Attempt(response, load, begunAt, isRetry));
    }

    private void startPrefills() {
        for (DirectFixture.SentRequest sent : entry.sentRequests) {
            int engine = sent.upstream.charAt(1) - '0';
            Load load = open.get(sent.request.headers().get("Request")).load;
            long start = Math.max(entry.now, engineFreeAt[engine]);
            boolean fails = failures.containsKey(load.path);
            engineFreeAt[engine] = fails ? start : start + Durations.nanos((long) (load.tokens * MILLIS_PER_TOKEN));
            prefills.add(new Prefill(sent, engineFreeAt[engine]));
        }
        entry.sentRequests.clear();
    }

    private void completePrefills() {
        while (!prefills.isEmpty() && prefills.peek().endsAt <= entry.now) {
            DirectFixture.SentRequest sent = prefills.poll().sent;
            if (!sent.cancelled) {
                sent.respond(failures.getOrDefault(sent.request.target(), 200), "id: 1\ndata: a\n\n");
            }
        }
    }

    /** Collects the answer to an attempt, or lets its caller leave or retry. */
    private boolean hasEnded(Attempt attempt) {
        DirectFixture.CallerResponse response = attempt.response;
        Load load = attempt.load;
        if (response.status == 200) {
            load.answered++;
            load.value += entry.now - attempt.begunAt > Durations.nanos(TARGET_MILLIS) ? 0.5 : 1;
        } else if (response.status == 503 && !attempt.isRetry) {
            double seconds = Double.parseDouble(response.headers.get("Retry-After"));
            retries.add(new Retry(load, attempt.begunAt, entry.now + Durations.nanos((long) (1_000 * seconds))));
        } else if (response.status == 0 && entry.now - attempt.begunAt > Durations.nanos(4 * TARGET_MILLIS)) {
            entry.core.onDisconnect(response);
            return true;
        }
        return response.status != 0;
    }
}
