package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Backoff periods that upstream instances requested when they refused a request: a circuit breaker whose open period
 * the upstream states.
 *
 * <p>Without it each entry would go on sending every call to an overloaded upstream that refuses them all and asks for
 * some seconds without requests, or would send all waiting calls at once when the period ends. After the period one
 * probe request is sent at a time, until an answer shows that the upstream accepts requests again. A success of a
 * request that was sent before the period ended doesn't close the breaker.
 *
 * <p>A backoff applies to one VM. A backoff that another entry received only makes other upstreams preferable.
 */
public final class UpstreamBackoffs {

    /**
     * The rest of a backoff period that this entry observes, for the other entries.
     *
     * @param instanceId     identity of the upstream instance
     * @param remainingNanos nanoseconds until the period ends
     */
    public record RemainingBackoff(String instanceId, long remainingNanos) {}

    /** Time after a probe until the next one; an upstream that refuses a probe answers much sooner. */
    private static final long PROBE_INTERVAL_NANOS = Durations.nanos(250);

    /** Time without any request after which a period that has ended is removed. */
    private static final long IDLE_RETENTION_NANOS = Durations.nanos(60_000);

    /** The backoff of one upstream instance. */
    private static final class Backoff {
        private long until;
        /** When the last probe was sent; the backoff stays in force until one succeeds. */
        private long probedAt = Long.MIN_VALUE / 2;

        private Backoff(long until) {
            this.until = until;
        }

        private long nextSendTime() {
            return Math.max(until, probedAt + PROBE_INTERVAL_NANOS);
        }
    }

    private final Map<String, Backoff> backoffs = new HashMap<>();
    /** When the periods end that other entries received, by instance. */
    private final Map<String, Long> remoteEnds = new HashMap<>();

    private UpstreamBackoffs() {}

    /**
     * Creates an empty table.
     *
     * @return the table
     */
    public static UpstreamBackoffs create() {
        return new UpstreamBackoffs();
    }

    /**
     * Processes a refusal that requests a backoff. It never shortens a period in force.
     *
     * @param now        when the refusal was received, in nanoseconds
     * @param instanceId identity of the upstream instance
     * @param duration   how long the upstream wants no request from this VM
     */
    public void onBackoffRequested(long now, String instanceId, Duration duration) {
        Backoff known = backoffs.computeIfAbsent(instanceId, key -> new Backoff(now));
        known.until = Math.max(known.until, now + duration.toNanos());
    }

    /**
     * Processes any other answer. It ends the backoff if its request was sent after the period.
     *
     * @param instanceId identity of the upstream instance
     * @param sentAt     when the request was sent, in nanoseconds
     */
    public void onAnswer(String instanceId, long sentAt) {
        Backoff known = backoffs.get(instanceId);
        if (known != null && sentAt >= known.until) {
            backoffs.remove(instanceId);
        }
    }

    /**
     * Processes a backoff that another entry observes.
     *
     * @param now    the time in nanoseconds
     * @param report the report of the other entry
     */
    public void onRemoteReport(long now, RemainingBackoff report) {
        remoteEnds.merge(report.instanceId(), now + report.remainingNanos(), Math::max);
    }

    /**
     * Returns the earliest time at which a request may be sent to an upstream.
     *
     * @param instanceId identity of the upstream instance
     * @return a time in nanoseconds; {@link Long#MIN_VALUE} without a backoff
     */
    public long nextSendTime(String instanceId) {
        Backoff known = backoffs.get(instanceId);
        return known == null ? Long.MIN_VALUE : known.nextSendTime();
    }

    /**
     * Checks whether another entry may observe a backoff that has not ended.
     *
     * @return false if none does
     */
    public boolean hasRemoteBackoffs() {
        return !remoteEnds.isEmpty();
    }

    /**
     * Checks whether another entry observes a backoff of an upstream that has not ended.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     * @return true if one does
     */
    public boolean isBackedOffRemotely(long now, String instanceId) {
        return remoteEnds.getOrDefault(instanceId, Long.MIN_VALUE) > now;
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     */
    public void onRequestSent(long now, String instanceId) {
        Backoff known = backoffs.get(instanceId);
        if (known != null) {
            known.probedAt = now;
        }
    }

    /**
     * Removes backoffs that have ended.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        remoteEnds.values().removeIf(until -> until <= now);
        backoffs.values().removeIf(backoff -> now - backoff.nextSendTime() > IDLE_RETENTION_NANOS);
    }

    /**
     * Returns the backoffs to report to the other entries.
     *
     * @param now the time in nanoseconds
     * @return backoff periods of this entry that have not ended
     */
    public List<RemainingBackoff> localReports(long now) {
        return backoffs.entrySet().stream()
                .filter(entry -> entry.getValue().until > now)
                .map(entry -> new RemainingBackoff(entry.getKey(), entry.getValue().until - now))
                .toList();
    }

    /**
     * Counts the upstreams whose backoff period at this entry has not ended.
     *
     * @param now the time in nanoseconds
     * @return their number
     */
    public long activeCount(long now) {
        return backoffs.values().stream().filter(backoff -> backoff.until > now).count();
    }
}
