package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
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
    /** Ranks told apart; an engine's queue knows ten places. */
    static final int RANKS = 4;

    final String id;
    final Address address;
    final String service;
    final String zone;
    final PartCache cache = new PartCache();
    /** Control processes that list it. */
    final Set<Address> listedBy = new HashSet<>();
    /** What the other entries have under way there. */
    private final Map<Address, UpstreamLoad> others = new HashMap<>();

    long sequence;
    int slots = 1;
    Role role = Role.ROLE_MIXED;
    boolean leaving;
    /** Whether control is changing its role. */
    boolean changing;
    /** When no control process listed it any more; {@link Core#NEVER} while one does. */
    long unlistedSince = Core.NEVER;

    /** Attempts of this entry under way there. */
    int running;
    /** Tokens that this entry's attempts there take in its memory. */
    long tokens;

    /** Milliseconds of prompts of this entry's attempts there that gave no first event yet, by rank. */
    final double[] promptWaiting = new double[RANKS];

    /** When anything last came from it on any request. */
    long heardAt = Long.MIN_VALUE / 2;

    private int failures;
    private long avoidUntil = Long.MIN_VALUE;
    private double latencyNanos;

    UpstreamRow(UpstreamBeat beat) {
        this.id = beat.getId();
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
        // An upstream that is leaving does not come back under the same identity.
        leaving |= beat.getLeaving();
        return changed;
    }

    void onLoad(Address entry, UpstreamLoad load) {
        others.put(entry, load);
    }

    void forgetLoad(Address entry) {
        others.remove(entry);
    }

    /** Attempts there of all entries, as far as this one knows. */
    int occupancy() {
        int sum = running;
        for (UpstreamLoad load : others.values()) {
            sum += load.getRunning();
        }
        return sum;
    }

    /** Tokens that the attempts of all entries take in its memory, as far as this one knows. */
    long memoryTokens() {
        long sum = tokens;
        for (UpstreamLoad load : others.values()) {
            sum += load.getTokens();
        }
        return sum;
    }

    /**
     * Milliseconds of prompts that go before one of a rank there, of all entries, as far as this one knows. An engine
     * takes prompts of a higher rank first.
     */
    double backlogMillis(int rank) {
        int last = Math.min(rank, RANKS - 1);
        double sum = 0;
        for (int index = 0; index <= last; index++) {
            sum += promptWaiting[index];
        }
        for (UpstreamLoad load : others.values()) {
            for (int index = 0; index <= last && index < load.getPromptMsCount(); index++) {
                sum += load.getPromptMs(index);
            }
        }
        return sum;
    }

    static int rankIndex(int rank) {
        return Math.clamp(rank, 0, RANKS - 1);
    }

    boolean isAvoided(long now) {
        return now < avoidUntil;
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
