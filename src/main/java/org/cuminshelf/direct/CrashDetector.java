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
final class CrashDetector {

    /** Takes crashes. */
    interface Listener {
        /** A request was at a start that crashed. */
        void onCrash(long now, String upstream, Fingerprint request, Involvement involvement);
    }

    /**
     * Time since the first event of a run up to which it counts as just begun. What crashes an upstream does so as it
     * begins to run, within some 120 ms where that was seen; twice that and more, as events come late.
     */
    private static final long JUST_BEGUN_NANOS = Durations.nanos(300);
    /** How long a broken attempt waits for a sign of a crash: upstreams are back, and announced, within some 4 s. */
    private static final long RETENTION_NANOS = Durations.nanos(10_000);
    /** How long the answer that a process listens holds for attempts that break after it. */
    private static final long LISTENING_VALIDITY_NANOS = Durations.nanos(200);
    /** Starts looked at together at the most; of more the oldest is given up. */
    private static final int MAX_SUSPECTS = 256;
    /** Suspect attempts kept of one start at the most, as many as a crash is told with. */
    private static final int MAX_REQUESTS_PER_SUSPECT = 128;

    /** What broke at one start. */
    private static final class Suspect {
        private final UpstreamInstance upstream;
        private final long sinceNanos;
        private final Map<Fingerprint, Involvement> involvements = new LinkedHashMap<>();
        private Optional<Reachability> reachability = Optional.empty();
        private long probedAtNanos = Core.NEVER;

        private Suspect(UpstreamInstance upstream, long sinceNanos) {
            this.upstream = upstream;
            this.sinceNanos = sinceNanos;
        }
    }

    private final UpstreamClient client;
    private final UpstreamTable upstreams;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Listener listener;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    /** Starts known to have crashed, and since when. */
    private final Map<String, Long> crashedSinceNanos = new HashMap<>();

    CrashDetector(
            UpstreamClient client, UpstreamTable upstreams, LongSupplier clock, DecisionLog log, Listener listener) {
        this.client = client;
        this.upstreams = upstreams;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    /** An attempt that had been sent broke. */
    void onAttemptFailed(long now, DirectAttempt attempt) {
        UpstreamInstance upstream = attempt.upstream;
        if (upstream.shutdownAnnounced) {
            return;
        }
        Fingerprint request = attempt.call.fingerprint();
        if (crashedSinceNanos.containsKey(upstream.id)) {
            listener.onCrash(now, upstream.id, request, involvement(now, attempt));
            return;
        }
        Suspect known = suspects.get(upstream.id);
        boolean first = known == null || isListening(known) && now - known.probedAtNanos > LISTENING_VALIDITY_NANOS;
        Suspect suspect = first ? addSuspect(now, upstream) : known;
        if (!isListening(suspect) && suspect.involvements.size() < MAX_REQUESTS_PER_SUSPECT) {
            suspect.involvements.merge(request, involvement(now, attempt), CrashDetector::stronger);
        }
        if (first) {
            client.probe(upstream.address, upstream.id, seen -> onProbeResult(clock.getAsLong(), suspect, seen));
        }
    }

    private static Involvement involvement(long now, DirectAttempt attempt) {
        boolean justBegun =
                attempt.firstEventAtNanos == Core.NEVER || now - attempt.firstEventAtNanos < JUST_BEGUN_NANOS;
        return justBegun ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
    }

    private static Involvement stronger(Involvement one, Involvement other) {
        return one.getNumber() >= other.getNumber() ? one : other;
    }

    private static boolean isListening(Suspect suspect) {
        return suspect.reachability
                .filter(seen -> seen == Reachability.LISTENING)
                .isPresent();
    }

    private Suspect addSuspect(long now, UpstreamInstance upstream) {
        if (suspects.size() >= MAX_SUSPECTS) {
            suspects.remove(suspects.keySet().iterator().next());
        }
        Suspect suspect = new Suspect(upstream, now);
        suspects.put(upstream.id, suspect);
        return suspect;
    }

    private void onProbeResult(long now, Suspect suspect, Reachability reachability) {
        suspect.reachability = Optional.of(reachability);
        suspect.probedAtNanos = now;
        switch (reachability) {
            case REFUSED -> {
                suspects.remove(suspect.upstream.id, suspect);
                confirmCrash(now, suspect, "connection refused");
            }
            case LISTENING -> {
                log.note("upstream", suspect.upstream.id, "outcome", "reset", "runs", suspect.involvements.size());
                suspect.involvements.clear();
            }
            case UNKNOWN -> checkForSuccessor(now, suspect);
        }
    }

    /** Looks whether another start has the address or the name of one that broke; if so the former has ended. */
    private void checkForSuccessor(long now, Suspect suspect) {
        UpstreamInstance suspectedInstance = suspect.upstream;
        boolean replaced = upstreams.instances().stream()
                .filter(other -> !other.id.equals(suspectedInstance.id) && other.knownSinceNanos > suspect.sinceNanos)
                .anyMatch(other ->
                        other.address.equals(suspectedInstance.address) || other.name.equals(suspectedInstance.name));
        if (replaced) {
            suspects.remove(suspectedInstance.id, suspect);
            confirmCrash(now, suspect, "another start has its place");
        }
    }

    private void confirmCrash(long now, Suspect suspect, String sign) {
        if (suspect.upstream.shutdownAnnounced) {
            return;
        }
        crashedSinceNanos.put(suspect.upstream.id, now);
        log.note(
                "upstream",
                suspect.upstream.id,
                "outcome",
                "crashed",
                "sign",
                sign,
                "runs",
                suspect.involvements.size());
        suspect.involvements.forEach(
                (request, involvement) -> listener.onCrash(now, suspect.upstream.id, request, involvement));
    }

    /** Looks whether the upstreams that are known now show a crash, and forgets what showed none. */
    void onUpstreamsChanged(long now) {
        for (Suspect suspect : List.copyOf(suspects.values())) {
            if (!isListening(suspect)) {
                checkForSuccessor(now, suspect);
            }
        }
    }

    /** Forgets what showed no crash in time. */
    void tick(long now) {
        Iterator<Suspect> oldest = suspects.values().iterator();
        while (oldest.hasNext()) {
            Suspect suspect = oldest.next();
            if (now - suspect.sinceNanos > RETENTION_NANOS) {
                oldest.remove();
                if (!isListening(suspect)) {
                    log.note("upstream", suspect.upstream.id, "outcome", "no-sign-of-a-crash");
                }
            }
        }
        crashedSinceNanos.values().removeIf(since -> now - since > RETENTION_NANOS);
    }
}
