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
final class UpstreamRow {

    /** First pause after failures in a row; long enough to let a restart finish, short against a day's burst. */
    private static final long FIRST_PAUSE = Durations.nanos(400);

    private static final long LONGEST_PAUSE = Durations.nanos(6_000);
    /** Failures in a row after which an upstream is avoided: one alone is ordinary. */
    private static final int FAILURES_BEFORE_PAUSE = 2;

    private static final double LATENCY_WEIGHT = 0.1;

    /** Names this start. */
    final String id;
    /** Names the upstream, whichever start of it. */
    final String name;
    /** When this entry first heard of it, in nanoseconds. */
    final long knownSince;
    /** When it started, in Unix milliseconds. */
    final long bornMillis;

    final Address address;
    final String service;
    final String zone;
    final PartCache cache = new PartCache();
    /** Control processes that list it. */
    final Set<Address> listedBy = new HashSet<>();
    /** What the other entries have under way there. */
    private final Map<Address, UpstreamLoad> others = new HashMap<>();
    /** Sums over the other entries, kept as they tell: placement asks for them several times for each call. */
    private int othersRunning;

    private long othersTokens;

    long sequence;
    int slots = 1;
    Role role = Role.ROLE_MIXED;
    boolean leaving;
    /** Whether the upstream itself said that it leaves, or is gone; it then ends as it should. */
    boolean announcedEnd;
    /** Whether control is changing its role. */
    boolean changing;
    /** When no control process listed it any more; {@link Core#NEVER} while one does. */
    long unlistedSince = Core.NEVER;

    /** Attempts of this entry under way there. */
    int running;
    /** Tokens that this entry's attempts there take in its memory. */
    long tokens;

    /** Prompts of all entries there that were not taken in yet, as far as this one knows. */
    final PromptQueue prompts = PromptQueue.empty();

    /** When anything last came from it on any request. */
    long heardAt = Long.MIN_VALUE / 2;

    private int failures;
    private long avoidUntil = Long.MIN_VALUE;
    private double latencyNanos;

    UpstreamRow(long now, UpstreamBeat beat) {
        this.knownSince = now;
        this.id = beat.getId();
        this.name = beat.getName();
        this.bornMillis = beat.getBornMs();
        this.address = Address.of(beat.getAddress());
        this.service = beat.getService();
        this.zone = beat.getZone();
    }

    /** Takes what it said of itself; an older word changes nothing. Returns whether anything changed. */
    boolean onBeat(UpstreamBeat beat) {
        if (beat.getSequence() < sequence) {
            return false;
        }
        boolean changed = changing != beat.getChanging()
                || role != beat.getRole()
                || !leaving && beat.getLeaving()
                || slots != beat.getSlots();
        sequence = beat.getSequence();
        slots = Math.max(1, beat.getSlots());
        role = beat.getRole();
        changing = beat.getChanging();
        if (beat.getLeaving()) {
            leave();
        }
        return changed;
    }

    /** It said that it leaves; it does not come back under the same identity. */
    void leave() {
        leaving = true;
        announcedEnd = true;
    }

    /** Takes what another entry has under way there. */
    void onLoad(Address entry, UpstreamLoad load, List<PromptQueue.PendingPrompt> waiting) {
        add(load, 1);
        Optional.ofNullable(others.put(entry, load)).ifPresent(before -> add(before, -1));
        prompts.setRemotePrompts(entry, waiting);
    }

    void forgetLoad(Address entry) {
        Optional.ofNullable(others.remove(entry)).ifPresent(before -> add(before, -1));
        prompts.setRemotePrompts(entry, List.of());
    }

    private void add(UpstreamLoad load, int sign) {
        othersRunning += sign * load.getRunning();
        othersTokens += (long) sign * load.getTokens();
    }

    /** Whether it generates, so that a prompt there is taken in between the tokens of its streams. */
    boolean generates() {
        return role != Role.ROLE_PREFILL;
    }

    /** Attempts there of all entries, as far as this one knows. */
    int occupancy() {
        return running + othersRunning;
    }

    /** Tokens that the attempts of all entries take in its memory, as far as this one knows. */
    long memoryTokens() {
        return tokens + othersTokens;
    }

    boolean isAvoided(long now) {
        return now < avoidUntil;
    }

    /** Until when it is avoided, in nanoseconds; in the past if it isn't. */
    long avoidedUntil() {
        return avoidUntil;
    }

    void succeeded(long latency) {
        failures = 0;
        avoidUntil = Long.MIN_VALUE;
        latencyNanos = latencyNanos == 0 ? latency : latencyNanos + LATENCY_WEIGHT * (latency - latencyNanos);
    }

    /** Usual time to an answer, or 0 before the first. */
    long usualLatency() {
        return (long) latencyNanos;
    }

    /**
     * Notes a failure. After several in a row the upstream is avoided for a while that doubles; it is tried again with
     * the request that comes then. Guards against an upstream that is gone or broken while control still lists it:
     * every request sent there would be lost until its lease ends.
     */
    void failed(long now) {
        failures++;
        if (failures >= FAILURES_BEFORE_PAUSE) {
            int doublings = Math.min(4, failures - FAILURES_BEFORE_PAUSE);
            avoidUntil = now + Math.min(LONGEST_PAUSE, FIRST_PAUSE << doublings);
        }
    }

    /** Avoids it for a while without a failure: it said that it is full. */
    void avoid(long until) {
        avoidUntil = Math.max(avoidUntil, until);
    }
}
