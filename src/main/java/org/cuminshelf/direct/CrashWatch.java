package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.poison.Fingerprint;

/**
 * Tells upstreams that crashed from connections that broke.
 *
 * <p>A broken connection alone shows no crash: resets, cuts, drains and ends that were announced look the same. So once
 * an attempt broke that had been sent, a new connection is opened to the same address, without a request on it. Where
 * the VM refuses it, the process there has ended. Where nothing comes back, the VM may be down: then the word that
 * another start has the address, or the name, shows it later. Where it is opened, the process lives, and what broke is
 * held against nobody. An upstream that said it leaves ends as it should.
 */
final class CrashWatch {

    /** Takes crashes. */
    interface Listener {
        /** A request was at a start that crashed. */
        void crashed(long now, String upstream, Fingerprint request, Involvement involvement);
    }

    /**
     * Time since the first event of a run up to which it counts as just begun. What crashes an upstream does so as it
     * begins to run, within some 120 ms where that was seen; twice that and more, as events come late.
     */
    private static final long JUST_BEGUN = Durations.nanos(300);
    /** How long a broken attempt waits for a sign of a crash: upstreams are back, and announced, within some 4 s. */
    private static final long KEPT = Durations.nanos(10_000);
    /** How long the answer that a process listens holds for attempts that break after it. */
    private static final long LISTENING_HOLDS = Durations.nanos(200);
    /** Starts looked at together at the most; of more the oldest is given up. */
    private static final int MOST_STARTS = 256;
    /** Broken attempts kept of one start at the most, as many as a crash is told with. */
    private static final int MOST_RUNS = 128;

    /** What broke at one start. */
    private static final class Broken {
        private final UpstreamRow upstream;
        private final long since;
        private final Map<Fingerprint, Involvement> runs = new LinkedHashMap<>();
        private Optional<Reachability> seen = Optional.empty();
        private long seenAt = Core.NEVER;

        private Broken(UpstreamRow upstream, long since) {
            this.upstream = upstream;
            this.since = since;
        }
    }

    private final UpstreamPort port;
    private final UpstreamTable upstreams;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Listener listener;
    private final Map<String, Broken> starts = new LinkedHashMap<>();
    /** Starts known to have crashed, and since when. */
    private final Map<String, Long> crashed = new HashMap<>();

    CrashWatch(UpstreamPort port, UpstreamTable upstreams, LongSupplier clock, DecisionLog log, Listener listener) {
        this.port = port;
        this.upstreams = upstreams;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    /** An attempt that had been sent broke. */
    void broken(long now, AttemptRow attempt) {
        UpstreamRow upstream = attempt.upstream;
        if (upstream.announcedEnd) {
            return;
        }
        Fingerprint request = attempt.call.fingerprint();
        if (crashed.containsKey(upstream.id)) {
            listener.crashed(now, upstream.id, request, involvement(now, attempt));
            return;
        }
        Broken known = starts.get(upstream.id);
        boolean first = known == null || isListening(known) && now - known.seenAt > LISTENING_HOLDS;
        Broken broken = first ? remember(now, upstream) : known;
        if (!isListening(broken) && broken.runs.size() < MOST_RUNS) {
            broken.runs.merge(request, involvement(now, attempt), CrashWatch::higher);
        }
        if (first) {
            port.probe(upstream.address, upstream.id, seen -> onSeen(clock.getAsLong(), broken, seen));
        }
    }

    private static Involvement involvement(long now, AttemptRow attempt) {
        boolean justBegun = attempt.firstEventAt == Core.NEVER || now - attempt.firstEventAt < JUST_BEGUN;
        return justBegun ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
    }

    private static Involvement higher(Involvement one, Involvement other) {
        return one.getNumber() >= other.getNumber() ? one : other;
    }

    private static boolean isListening(Broken broken) {
        return broken.seen.filter(seen -> seen == Reachability.LISTENING).isPresent();
    }

    private Broken remember(long now, UpstreamRow upstream) {
        if (starts.size() >= MOST_STARTS) {
            starts.remove(starts.keySet().iterator().next());
        }
        Broken broken = new Broken(upstream, now);
        starts.put(upstream.id, broken);
        return broken;
    }

    private void onSeen(long now, Broken broken, Reachability seen) {
        broken.seen = Optional.of(seen);
        broken.seenAt = now;
        switch (seen) {
            case REFUSED -> {
                starts.remove(broken.upstream.id, broken);
                confirm(now, broken, "connection refused");
            }
            case LISTENING -> {
                log.note("upstream", broken.upstream.id, "outcome", "reset", "runs", broken.runs.size());
                broken.runs.clear();
            }
            case UNKNOWN -> lookForSuccessor(now, broken);
        }
    }

    /** Looks whether another start has the address or the name of one that broke; if so the former has ended. */
    private void lookForSuccessor(long now, Broken broken) {
        UpstreamRow before = broken.upstream;
        boolean followed = upstreams.rows().stream()
                .filter(row -> !row.id.equals(before.id) && row.knownSince > broken.since)
                .anyMatch(row -> row.address.equals(before.address) || row.name.equals(before.name));
        if (followed) {
            starts.remove(before.id, broken);
            confirm(now, broken, "another start has its place");
        }
    }

    private void confirm(long now, Broken broken, String sign) {
        if (broken.upstream.announcedEnd) {
            return;
        }
        crashed.put(broken.upstream.id, now);
        log.note("upstream", broken.upstream.id, "outcome", "crashed", "sign", sign, "runs", broken.runs.size());
        broken.runs.forEach((request, involvement) -> listener.crashed(now, broken.upstream.id, request, involvement));
    }

    /** Looks whether the upstreams that are known now show a crash, and forgets what showed none. */
    void onUpstreams(long now) {
        for (Broken broken : List.copyOf(starts.values())) {
            if (!isListening(broken)) {
                lookForSuccessor(now, broken);
            }
        }
    }

    /** Forgets what showed no crash in time. */
    void tick(long now) {
        Iterator<Broken> oldest = starts.values().iterator();
        while (oldest.hasNext()) {
            Broken broken = oldest.next();
            if (now - broken.since > KEPT) {
                oldest.remove();
                if (!isListening(broken)) {
                    log.note("upstream", broken.upstream.id, "outcome", "no-sign-of-a-crash");
                }
            }
        }
        crashed.values().removeIf(since -> now - since > KEPT);
    }
}
