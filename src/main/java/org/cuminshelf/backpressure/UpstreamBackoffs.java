package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Rest that upstreams asked for when they refused a request, by the identity of their starts: a circuit breaker whose
 * time the upstream states.
 *
 * <p>Failure it guards against: an upstream in need refuses all that comes and asks for some seconds without requests,
 * and each entry tries it again with every call, or with all calls at once when the time is over. After a rest one
 * request goes at a time until an answer shows that the upstream takes them again. A success of what was sent before
 * ends no rest.
 *
 * <p>Rest is asked of one VM. What other entries were asked for is a reason to prefer another upstream, and no more.
 */
public final class UpstreamBackoffs {

    /**
     * Rest that this entry was asked for, for the other entries.
     *
     * @param instanceId     identity of the upstream's start
     * @param remainingNanos how much of it is left
     */
    public record RemainingBackoff(String instanceId, long remainingNanos) {}

    /** Time after which one more request is tried after a rest: refusals come much sooner. */
    private static final long PROBE_INTERVAL_NANOS = Durations.nanos(250);

    /** Time without any request after which a rest that is over is forgotten. */
    private static final long IDLE_RETENTION_NANOS = Durations.nanos(60_000);

    /** What one start asked for. */
    private static final class Backoff {
        private long until;
        /** When the last request after the rest was tried; the rest goes on until one is answered. */
        private long probedAt = Long.MIN_VALUE / 2;

        private Backoff(long until) {
            this.until = until;
        }

        private long nextSendTime() {
            return Math.max(until, probedAt + PROBE_INTERVAL_NANOS);
        }
    }

    private final Map<String, Backoff> backoffs = new HashMap<>();
    /** When the rest ends that other entries were asked for. */
    private final Map<String, Long> remoteEnds = new HashMap<>();

    private UpstreamBackoffs() {}

    /**
     * Makes a table in which no upstream rests.
     *
     * @return the table
     */
    public static UpstreamBackoffs create() {
        return new UpstreamBackoffs();
    }

    /**
     * Takes a refusal that asks for rest. A shorter one that comes later ends no longer one.
     *
     * @param now   when it came, in nanoseconds
     * @param instanceId identity of the upstream's start
     * @param duration  how long it wants nothing from here
     */
    public void onBackoffRequested(long now, String instanceId, Duration duration) {
        Backoff known = backoffs.computeIfAbsent(instanceId, key -> new Backoff(now));
        known.until = Math.max(known.until, now + duration.toNanos());
    }

    /**
     * Takes any other answer. It ends a rest that is over in time, if its request was sent after that.
     *
     * @param instanceId  identity of the upstream's start
     * @param sentAt when its request was sent, in nanoseconds
     */
    public void onAnswer(String instanceId, long sentAt) {
        Backoff known = backoffs.get(instanceId);
        if (known != null && sentAt >= known.until) {
            backoffs.remove(instanceId);
        }
    }

    /**
     * Takes rest that another entry was asked for.
     *
     * @param now  the time in nanoseconds
     * @param report what is left of it
     */
    public void onRemoteReport(long now, RemainingBackoff report) {
        remoteEnds.merge(report.instanceId(), now + report.remainingNanos(), Math::max);
    }

    /**
     * Tells when a request may be sent to an upstream.
     *
     * @param instanceId identity of its start
     * @return a time in nanoseconds; {@link Long#MIN_VALUE} where it asked for nothing
     */
    public long nextSendTime(String instanceId) {
        Backoff known = backoffs.get(instanceId);
        return known == null ? Long.MIN_VALUE : known.nextSendTime();
    }

    /**
     * Tells whether any upstream may have asked another entry for rest that isn't over.
     *
     * @return false if none did
     */
    public boolean hasRemoteBackoffs() {
        return !remoteEnds.isEmpty();
    }

    /**
     * Tells whether an upstream asked another entry for rest that isn't over.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of its start
     * @return true if it did
     */
    public boolean isBackedOffRemotely(long now, String instanceId) {
        return remoteEnds.getOrDefault(instanceId, Long.MIN_VALUE) > now;
    }

    /**
     * Takes note of a request that is sent.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of the upstream's start
     */
    public void onRequestSent(long now, String instanceId) {
        Backoff known = backoffs.get(instanceId);
        if (known != null) {
            known.probedAt = now;
        }
    }

    /**
     * Forgets what is over.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        remoteEnds.values().removeIf(until -> until <= now);
        backoffs.values().removeIf(backoff -> now - backoff.nextSendTime() > IDLE_RETENTION_NANOS);
    }

    /**
     * What the other entries should hear.
     *
     * @param now the time in nanoseconds
     * @return rest that this entry was asked for and that isn't over
     */
    public List<RemainingBackoff> localReports(long now) {
        return backoffs.entrySet().stream()
                .filter(entry -> entry.getValue().until > now)
                .map(entry -> new RemainingBackoff(entry.getKey(), entry.getValue().until - now))
                .toList();
    }

    /**
     * Counts the upstreams that asked this entry for rest which isn't over.
     *
     * @param now the time in nanoseconds
     * @return their number
     */
    public long activeCount(long now) {
        return backoffs.values().stream().filter(backoff -> backoff.until > now).count();
    }
}
