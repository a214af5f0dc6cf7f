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

/** One start of one upstream as this entry sees it. */
final class UpstreamInstance {

    /** First pause after failures in a row; long enough to let a restart finish, short against a day's burst. */
    private static final long INITIAL_BACKOFF_NANOS = Durations.nanos(400);

    private static final long MAX_BACKOFF_NANOS = Durations.nanos(6_000);
    /** Failures in a row after which an upstream is avoided: one alone is ordinary. */
    private static final int MIN_FAILURES_BEFORE_BACKOFF = 2;

    private static final double LATENCY_SMOOTHING_FACTOR = 0.1;

    /** Names this start. */
    final String id;
    /** Names the upstream, whichever start of it. */
    final String name;
    /** When this entry first heard of it, in nanoseconds. */
    final long knownSinceNanos;
    /** When it started, in Unix milliseconds. */
    final long startedAtMillis;

    final Address address;
    final String service;
    final String zone;
    final PrefixCacheTracker promptCache = new PrefixCacheTracker();
    /** Control processes that list it. */
    final Set<Address> listedBy = new HashSet<>();
    /** What the other entries have under way there. */
    private final Map<Address, UpstreamLoad> loadByEntry = new HashMap<>();
    /** Sums over the other entries, kept as they tell: placement asks for them several times for each call. */
    private int remoteAttempts;

    private long remoteMemoryTokens;

    long heartbeatSequence;
    int slots = 1;
    Role role = Role.ROLE_MIXED;
    boolean draining;
    /** Whether the upstream itself said that it leaves, or is gone; it then ends as it should. */
    boolean shutdownAnnounced;
    /** Whether control is changing its role. */
    boolean roleChanging;
    /** When no control process listed it any more; {@link Core#NEVER} while one does. */
    long unlistedSinceNanos = Core.NEVER;

    /** Attempts of this entry under way there. */
    int localAttempts;
    /** Tokens that this entry's attempts there take in its memory. */
    long localMemoryTokens;

    /** Prompts of all entries there that were not taken in yet, as far as this one knows. */
    final PromptQueue pendingPrompts = PromptQueue.empty();

    /** When anything last came from it on any request. */
    long lastResponseAtNanos = Long.MIN_VALUE / 2;

    private int consecutiveFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private double smoothedLatencyNanos;

    UpstreamInstance(long now, UpstreamBeat heartbeat) {
        this.knownSinceNanos = now;
        this.id = heartbeat.getId();
        this.name = heartbeat.getName();
        this.startedAtMillis = heartbeat.getBornMs();
        this.address = Address.of(heartbeat.getAddress());
        this.service = heartbeat.getService();
        this.zone = heartbeat.getZone();
    }

    /** Takes what it said of itself; an older word changes nothing. Returns whether anything changed. */
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

    /** It said that it leaves; it does not come back under the same identity. */
    void startDraining() {
        draining = true;
        shutdownAnnounced = true;
    }

    /** Takes what another entry has under way there. */
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

    /** Whether it generates, so that a prompt there is taken in between the tokens of its streams. */
    boolean generatesTokens() {
        return role != Role.ROLE_PREFILL;
    }

    /** Attempts there of all entries, as far as this one knows. */
    int totalAttempts() {
        return localAttempts + remoteAttempts;
    }

    /** Tokens that the attempts of all entries take in its memory, as far as this one knows. */
    long totalMemoryTokens() {
        return localMemoryTokens + remoteMemoryTokens;
    }

    boolean isAvoided(long now) {
        return now < avoidUntilNanos;
    }

    /** Until when it is avoided, in nanoseconds; in the past if it isn't. */
    long avoidedUntilNanos() {
        return avoidUntilNanos;
    }

    void recordSuccess(long latencyNanos) {
        consecutiveFailures = 0;
        avoidUntilNanos = Long.MIN_VALUE;
        smoothedLatencyNanos = smoothedLatencyNanos == 0
                ? latencyNanos
                : smoothedLatencyNanos + LATENCY_SMOOTHING_FACTOR * (latencyNanos - smoothedLatencyNanos);
    }

    /** Usual time to an answer, or 0 before the first. */
    long smoothedLatencyNanos() {
        return (long) smoothedLatencyNanos;
    }

    /**
     * Notes a failure. After several in a row the upstream is avoided for a while that doubles; it is tried again with
     * the request that comes then. Guards against an upstream that is gone or broken while control still lists it:
     * every request sent there would be lost until its lease ends.
     */
    void recordFailure(long now) {
        consecutiveFailures++;
        if (consecutiveFailures >= MIN_FAILURES_BEFORE_BACKOFF) {
            int doublings = Math.min(4, consecutiveFailures - MIN_FAILURES_BEFORE_BACKOFF);
            avoidUntilNanos = now + Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << doublings);
        }
    }

    /** Avoids it for a while without a failure: it said that it is full. */
    void avoid(long untilNanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, untilNanos);
    }
}
