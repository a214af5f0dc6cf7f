package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.PromptQueue;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;

/** This entry's view of one upstream instance, that is, one run of an upstream process. Times are monotonic. */
final class UpstreamInstance {

    /** Backoff after the first failures in a row: long enough for a restart, short compared with a load peak. */
    private static final long INITIAL_BACKOFF_NANOS = Durations.nanos(400);

    private static final long MAX_BACKOFF_NANOS = Durations.nanos(6_000);
    /** Failures in a row after which an instance is avoided, as single failures are normal. */
    private static final int MIN_FAILURES_BEFORE_BACKOFF = 2;

    /** Time without a byte on any request after which streams move to another engine; callers disconnect after 2 s. */
    static final long SILENCE_NANOS = Durations.nanos(1_000);
    /** The same after which it gets no replacements and, while others serve, no new calls. */
    static final long SUSPECT_SILENCE_NANOS = Durations.nanos(600);

    private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

    private static final long NEVER_RESPONDED = Long.MIN_VALUE / 2;

    /** Id of this instance. */
    final String id;
    /** Name of the upstream; the same for all of its instances. */
    final String name;
    /** When this entry first received its heartbeat, in nanoseconds. */
    final long knownSinceNanos;
    /** When the instance started, in Unix milliseconds. */
    final long startedAtMillis;

    final Address address;
    final String service;
    /** Version of its software; empty if it states none. */
    final String version;

    final String zone;
    final PrefixCacheTracker promptCache = new PrefixCacheTracker();
    /** Control processes whose directories list it. */
    final Set<Address> listedBy = new HashSet<>();
    /** The load that each of the other entries last reported for it. */
    private final Map<Address, UpstreamLoad> loadByEntry = new HashMap<>();
    /** Sums over the other entries, updated with each report, as placement reads them several times per call. */
    private int remoteAttempts;

    private long remoteMemoryTokens;

    long heartbeatSequence;
    int slots = 1;
    Role role = Role.ROLE_MIXED;
    boolean draining;
    /** Whether the upstream itself announced its shutdown, so that its end is no crash. */
    boolean shutdownAnnounced;
    /** Whether control is changing its role; it gets no new work meanwhile. */
    boolean roleChanging;
    /** When this entry first learned of that change; {@link Core#NEVER} while there is none. */
    long roleChangingSinceNanos = Core.NEVER;
    /** Whether it answers more requests with errors than its peers, see {@link UpstreamOutliers}. */
    boolean outlier;
    /** When the last control process stopped listing it; {@link Core#NEVER} while one does. */
    long unlistedSinceNanos = Core.NEVER;

    /** Running attempts of this entry. */
    int localAttempts;
    /** Tokens that running attempts of this entry occupy in its KV memory. */
    long localMemoryTokens;

    /** Prompts of all entries that it has not yet prefilled, as far as known here. */
    final PromptQueue pendingPrompts = PromptQueue.empty();

    /** The waits of this entry's streams there for their next events. */
    final EventWaits eventWaits = new EventWaits();

    /** When it last sent any bytes, on any request of this entry. */
    long lastResponseAtNanos = NEVER_RESPONDED;
    /**
     * Since when requests have waited there without a byte on any of them, by the {@link WatchedClock};
     * {@link Core#NEVER} if none waits.
     */
    private long awaitedSinceWatchedNanos = Core.NEVER;

    private long lastSentWatchedNanos;
    /** When its silence was last counted as a failure; {@link Core#NEVER} if it was not since its last response. */
    private long silenceCountedAtNanos = Core.NEVER;

    private int consecutiveFailures;
    /** End of the backoff after failures. */
    private long failureBackoffUntilNanos = Long.MIN_VALUE;
    /** End of the time for which it accepts nothing, as it has rejected a request or crashed. */
    private long avoidUntilNanos = Long.MIN_VALUE;

    private double smoothedLatencyNanos;

    UpstreamInstance(long now, UpstreamBeat heartbeat) {
        this.knownSinceNanos = now;
        this.id = heartbeat.getId();
        this.name = heartbeat.getName();
        this.startedAtMillis = heartbeat.getBornMs();
        this.address = Address.of(heartbeat.getAddress());
        this.service = heartbeat.getService();
        this.version = heartbeat.getVersion();
        this.zone = heartbeat.getZone();
    }

    /** Returns whether all of some instances run the same software version. */
    static boolean haveOneVersion(List<UpstreamInstance> instances) {
        for (UpstreamInstance instance : instances) {
            if (!instance.version.equals(instances.getFirst().version)) {
                return false;
            }
        }
        return true;
    }

    /** Returns those of some instances that do not fail more than their peers, or all if all of them do. */
    static List<UpstreamInstance> withoutOutliers(List<UpstreamInstance> instances) {
        List<UpstreamInstance> sound =
                instances.stream().filter(instance -> !instance.outlier).toList();
        return sound.isEmpty() ? instances : sound;
    }

    /** Applies a heartbeat unless it is older than the last one. Returns whether the state changed. */
    boolean applyHeartbeat(UpstreamBeat heartbeat) {
        if (heartbeat.getSequence() < heartbeatSequence) {
            return false;
        }
        boolean changed = roleChanging != heartbeat.getChanging()
                || role != heartbeat.getRole()
                || !draining && heartbeat.getLeaving()
                || slots != heartbeat.getSlots();
        heartbeatSequence = heartbeat.getSequence();
        slots = Math.max(1, heartbeat.getSlots());
        role = heartbeat.getRole();
        roleChanging = heartbeat.getChanging();
        if (heartbeat.getLeaving()) {
            startDraining();
        }
        return changed;
    }

    /** Marks the instance as shutting down; it never serves again under the same id. */
    void startDraining() {
        draining = true;
        shutdownAnnounced = true;
    }

    /** Replaces the load and the pending prompts that another entry reported. */
    void applyLoad(Address entry, UpstreamLoad load, List<PromptQueue.PendingPrompt> waiting) {
        addRemoteLoad(load, 1);
        Optional.ofNullable(loadByEntry.put(entry, load)).ifPresent(previous -> addRemoteLoad(previous, -1));
        pendingPrompts.setRemotePrompts(entry, waiting);
    }

    void removeLoad(Address entry) {
        Optional.ofNullable(loadByEntry.remove(entry)).ifPresent(previous -> addRemoteLoad(previous, -1));
        pendingPrompts.setRemotePrompts(entry, List.of());
    }

    private void addRemoteLoad(UpstreamLoad load, int sign) {
        remoteAttempts += sign * load.getRunning();
        remoteMemoryTokens += (long) sign * load.getTokens();
    }

    /** Whether it generates tokens, so that prompts are prefilled between the decode steps of its streams. */
    boolean generatesTokens() {
        return role != Role.ROLE_PREFILL;
    }

    /** Running attempts of all entries, as far as known here. */
    int totalAttempts() {
        return localAttempts + remoteAttempts;
    }

    /** Streams of all entries for which it generates, as far as known here; at least 1. */
    int generatingStreams() {
        return Math.max(1, totalAttempts() - pendingPrompts.size());
    }

    /** Tokens that running attempts of all entries occupy in its KV memory, as far as known here. */
    long totalMemoryTokens() {
        return localMemoryTokens + remoteMemoryTokens;
    }

    /** Records that a request is sent to it. */
    void recordSent(long watchedNow) {
        boolean abandoned = localAttempts == 0 && watchedNow - lastSentWatchedNanos > SILENCE_NANOS;
        if (awaitedSinceWatchedNanos == Core.NEVER || abandoned) {
            awaitedSinceWatchedNanos = watchedNow;
        }
        lastSentWatchedNanos = watchedNow;
    }

    /** Records that a part of a response arrived from it. */
    void recordResponse(long now, long watchedNow) {
        lastResponseAtNanos = now;
        awaitedSinceWatchedNanos = localAttempts > 0 ? watchedNow : Core.NEVER;
        silenceCountedAtNanos = Core.NEVER;
    }

    /** Records that a response is complete; if no request waits there any more, it owes nothing. */
    void recordCompletion() {
        if (localAttempts == 0) {
            awaitedSinceWatchedNanos = Core.NEVER;
        }
    }

    /** Returns for how long it sent nothing although requests waited there, in nanoseconds of watched time. */
    long silentNanos(long watchedNow) {
        return awaitedSinceWatchedNanos == Core.NEVER ? 0 : watchedNow - awaitedSinceWatchedNanos;
    }

    /** Whether requests wait or waited there until now, without a byte for so long that it should not get more. */
    boolean isSilent(long watchedNow) {
        return isAwaited(watchedNow) && silentNanos(watchedNow) >= SUSPECT_SILENCE_NANOS;
    }

    /** Whether requests wait or waited there until now without a byte on any of them. */
    boolean isAwaited(long watchedNow) {
        boolean sentLately = localAttempts > 0 || watchedNow - lastSentWatchedNanos <= SILENCE_NANOS;
        return sentLately && awaitedSinceWatchedNanos != Core.NEVER;
    }

    /** Whether it is silent for so long that its streams are moved. */
    boolean isLongSilent(long watchedNow) {
        return silentNanos(watchedNow) >= SILENCE_NANOS;
    }

    /** Counts its silence as one failure, however many attempts wait there, and again if it lasts as long once more. */
    void recordSilence(long now, long watchedNow) {
        boolean counted = silenceCountedAtNanos != Core.NEVER && watchedNow - silenceCountedAtNanos < SILENCE_NANOS;
        if (isLongSilent(watchedNow) && !counted) {
            silenceCountedAtNanos = watchedNow;
            recordFailure(now);
        }
    }

    /** Whether it has sent anything to this entry. */
    boolean hasResponded() {
        return lastResponseAtNanos != NEVER_RESPONDED;
    }

    boolean isAvoided(long now) {
        return now < avoidedUntilNanos();
    }

    /** Whether it is avoided only because attempts on it have failed, so that it may be sound. */
    boolean isInFailureBackoff(long now) {
        return isAvoided(now) && now >= avoidUntilNanos;
    }

    /** End of the current backoff in nanoseconds; in the past if there is none. */
    long avoidedUntilNanos() {
        return Math.max(failureBackoffUntilNanos, avoidUntilNanos);
    }

    void recordSuccess(long latencyNanos) {
        consecutiveFailures = 0;
        failureBackoffUntilNanos = Long.MIN_VALUE;
        avoidUntilNanos = Long.MIN_VALUE;
        smoothedLatencyNanos = smoothedLatencyNanos == 0
                ? latencyNanos
                : smoothedLatencyNanos + LATENCY_SMOOTHING_FACTOR * (latencyNanos - smoothedLatencyNanos);
    }

    /** Exponentially smoothed latency of successful responses; 0 before the first. */
    long smoothedLatencyNanos() {
        return (long) smoothedLatencyNanos;
    }

    /**
     * Records a failure. After several in a row the instance is avoided with an exponential backoff, and tried again
     * with the first request after it. Without that, every request sent to an instance that is dead but still listed by
     * control would be lost until its lease ends.
     *
     * <p>Failures during a backoff do not lengthen it: they are those of attempts sent before it, which often fail
     * together. Guards against avoiding an upstream for seconds because all its connections broke at one moment.
     */
    void recordFailure(long now) {
        if (now < failureBackoffUntilNanos) {
            return;
        }
        consecutiveFailures++;
        if (consecutiveFailures >= MIN_FAILURES_BEFORE_BACKOFF) {
            int doublings = Math.min(4, consecutiveFailures - MIN_FAILURES_BEFORE_BACKOFF);
            failureBackoffUntilNanos = now + Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << doublings);
        }
    }

    /** Avoids the instance until a time without recording a failure. */
    void avoid(long untilNanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, untilNanos);
    }
}
