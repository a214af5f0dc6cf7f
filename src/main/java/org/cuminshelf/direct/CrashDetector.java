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

/**
 * Distinguishes crashes of upstream instances from other connection failures.
 *
 * <p>A failed connection alone proves no crash: resets, network cuts, drains and announced shutdowns look the same. So
 * after a sent attempt has failed, this class opens a new connection to the same address without sending a request:
 * <ul>
 *   <li>If the VM refuses it, the process has ended: a crash.</li>
 *   <li>If there is no response, the VM may be down. The crash is confirmed once another instance appears with the same
 *       address or name.</li>
 *   <li>If it is accepted, the process is alive, and no request is blamed.</li>
 * </ul>
 * An instance that announced its shutdown is never reported as crashed.
 */
final class CrashDetector {

    /** Receives confirmed crashes. */
    interface Listener {
        /**
         * Called for each request that was running on a crashed instance, and for each attribute of such requests;
         * again when more is known of one.
         *
         * @param now      the time in nanoseconds
         * @param upstream id of the instance
         * @param presence the request or attribute, and how it was there
         */
        void onCrash(long now, String upstream, FailedRuns.Presence presence);
    }

    /** Receives attempts whose connection broke although their upstream is alive. */
    interface ResetListener {
        /**
         * Called once for all attempts whose connections broke together.
         *
         * @param now     the time in nanoseconds
         * @param attempt the first of them
         */
        void onReset(long now, DirectAttempt attempt);
    }

    /**
     * Time after its first event for which a run counts as just begun. Poison requests crash an upstream as they begin
     * to run, within some 120 ms; the value is more than twice that, as events arrive late.
     */
    static final long JUST_BEGUN_NANOS = Durations.nanos(300);
    /** Time for which a crash may be confirmed; restarted upstreams have sent a heartbeat within some 4 s. */
    private static final long RETENTION_NANOS = Durations.nanos(10_000);
    /** Time for which an accepted probe also clears attempts that fail after it. */
    private static final long LISTENING_VALIDITY_NANOS = Durations.nanos(200);
    /** Upper bound of suspected instances; the oldest is dropped for a new one. */
    private static final int MAX_SUSPECTS = 256;
    /** An instance that may have crashed, and the requests that failed there. */
    private static final class Suspect {
        private final UpstreamInstance upstream;
        private final long sinceNanos;
        private final FailedRuns failedRuns = new FailedRuns();
        private Optional<Reachability> reachability = Optional.empty();
        private long probedAtNanos = Core.NEVER;

        private Suspect(UpstreamInstance upstream, long sinceNanos) {
            this.upstream = upstream;
            this.sinceNanos = sinceNanos;
        }
    }

    /**
     * A confirmed crash.
     *
     * @param sinceNanos when it was confirmed
     * @param failedRuns the requests that failed there
     */
    private record Crash(long sinceNanos, FailedRuns failedRuns) {}

    private final UpstreamClient client;
    private final UpstreamTable upstreams;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Listener listener;
    private ResetListener resetListener = (now, attempt) -> {};
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    /** Crashed instances by id. */
    private final Map<String, Crash> crashes = new HashMap<>();

    CrashDetector(
            UpstreamClient client, UpstreamTable upstreams, LongSupplier clock, DecisionLog log, Listener listener) {
        this.client = client;
        this.upstreams = upstreams;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    void reportResetsTo(ResetListener receiver) {
        resetListener = receiver;
    }

    /** Records the failed connection of an attempt that had been sent, and probes the upstream if necessary. */
    void onAttemptFailed(long now, DirectAttempt attempt) {
        UpstreamInstance upstream = attempt.upstream;
        if (upstream.shutdownAnnounced) {
            return;
        }
        Crash crash = crashes.get(upstream.id);
        if (crash != null) {
            crash.failedRuns
                    .add(attempt.call, involvement(now, attempt))
                    .forEach(presence -> listener.onCrash(now, upstream.id, presence));
            return;
        }
        Suspect known = suspects.get(upstream.id);
        boolean probeNeeded =
                known == null || isListening(known) && now - known.probedAtNanos > LISTENING_VALIDITY_NANOS;
        Suspect suspect = probeNeeded ? addSuspect(now, upstream) : known;
        if (!isListening(suspect)) {
            suspect.failedRuns.add(attempt.call, involvement(now, attempt));
        }
        if (probeNeeded) {
            client.probe(
                    upstream.address,
                    upstream.id,
                    reachability -> onProbeResult(clock.getAsLong(), suspect, attempt, reachability));
        }
    }

    private static Involvement involvement(long now, DirectAttempt attempt) {
        boolean justBegun =
                attempt.firstEventAtNanos == Core.NEVER || now - attempt.firstEventAtNanos < JUST_BEGUN_NANOS;
        return justBegun ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
    }

    private static boolean isListening(Suspect suspect) {
        return suspect.reachability
                .filter(reachability -> reachability == Reachability.LISTENING)
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

    private void onProbeResult(long now, Suspect suspect, DirectAttempt attempt, Reachability reachability) {
        suspect.reachability = Optional.of(reachability);
        suspect.probedAtNanos = now;
        switch (reachability) {
            case REFUSED -> {
                suspects.remove(suspect.upstream.id, suspect);
                confirmCrash(now, suspect, "connection refused");
            }
            case LISTENING -> {
                log.note(
                        "upstream", suspect.upstream.id, "outcome", "reset", "runs", suspect.failedRuns.requestCount());
                suspect.failedRuns.clear();
                resetListener.onReset(now, attempt);
            }
            case UNKNOWN -> checkForSuccessor(now, suspect);
        }
    }

    /** Confirms the crash if a newer instance has the address or the name of the suspected one. */
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
        crashes.put(suspect.upstream.id, new Crash(now, suspect.failedRuns));
        log.note(
                "upstream",
                suspect.upstream.id,
                "outcome",
                "crashed",
                "sign",
                sign,
                "runs",
                suspect.failedRuns.requestCount());
        suspect.failedRuns.presences().forEach(presence -> listener.onCrash(now, suspect.upstream.id, presence));
    }

    /** Checks all suspects after the upstream table has changed. */
    void onUpstreamsChanged(long now) {
        for (Suspect suspect : List.copyOf(suspects.values())) {
            if (!isListening(suspect)) {
                checkForSuccessor(now, suspect);
            }
        }
    }

    /** Drops suspects whose crash was not confirmed in time, and old confirmed crashes. */
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
        crashes.values().removeIf(crash -> now - crash.sinceNanos > RETENTION_NANOS);
    }
}
