package org.cuminshelf.entry;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;

/**
 * The state that this entry holds about one upstream: its directory entry, the session with its sidecar and its load.
 * Times are monotonic nanoseconds; 0 means that the event has not happened.
 */
final class UpstreamRow {

    /** Maximum number of cached prefix blocks that are remembered for one engine. */
    private static final int MAX_CACHED_BLOCKS = 4096;

    private static final int MAX_SUPERSEDED_INCARNATIONS = 8;

    final Address address;
    Member member;
    /** Directory entry of an incarnation other than that of the session; null if there is none. */
    private Member pendingMember;
    /** Control processes that list this upstream; it is removed only when none does. */
    final Set<Address> listedBy = new HashSet<>();

    long incarnation;
    /** Earlier incarnations, whose messages may still arrive. */
    private final ArrayDeque<Long> supersededIncarnations = new ArrayDeque<>();

    /** The session with the current incarnation of the sidecar; 0 if none is open. */
    long session;

    long openSentAtNanos;
    long lastMessageAtNanos;
    /** When the oldest unanswered request was sent; 0 if none is outstanding. */
    long unansweredSinceNanos;

    long lastDispatchAtNanos;
    boolean leaving;
    LoadReport load = LoadReport.getDefaultInstance();
    /** Attempts of this entry that the last load report does not include, by number. */
    final Map<Long, AttemptRow> unreportedAttempts = new HashMap<>();

    /** Attempts of this entry that are reserved or run at the upstream. */
    int ownAttempts;

    /** Prompt tokens of attempts that the last load report does not include. */
    private long unreportedPromptTokens;

    /** Prompt tokens that the last load report counts as queued but that were prefilled since. */
    private long prefilledSinceReportTokens;

    int consecutiveFailures;
    long avoidUntilNanos;
    /** Hashes of prompt prefix blocks that the engine is expected to have cached, least recently used first. */
    private final LinkedHashMap<Long, Boolean> cachedBlocks = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_CACHED_BLOCKS;
        }
    };

    UpstreamRow(Member member) {
        this.address = Address.of(member.getAddress());
        this.member = member;
        this.incarnation = member.getIncarnation();
    }

    /**
     * Stores the directory entry received from a control process. An entry of another incarnation than that of the
     * session is kept until a session with that incarnation is opened.
     */
    void onMember(Member reported) {
        if (session == 0 || reported.getIncarnation() == incarnation) {
            incarnation = reported.getIncarnation();
            member = reported;
        } else {
            pendingMember = reported;
            openSentAtNanos = 0;
        }
    }

    /** Replaces the incarnation and discards all state of the earlier one. */
    void restart(long newIncarnation) {
        supersededIncarnations.add(incarnation);
        if (supersededIncarnations.size() > MAX_SUPERSEDED_INCARNATIONS) {
            supersededIncarnations.poll();
        }
        incarnation = newIncarnation;
        boolean announced = pendingMember != null && pendingMember.getIncarnation() == newIncarnation;
        member = announced
                ? pendingMember
                : member.toBuilder()
                        .setIncarnation(newIncarnation)
                        .setLeaving(false)
                        .build();
        pendingMember = null;
        session = 0;
        openSentAtNanos = 0;
        leaving = false;
        load = LoadReport.getDefaultInstance();
        unreportedAttempts.clear();
        ownAttempts = 0;
        unreportedPromptTokens = 0;
        prefilledSinceReportTokens = 0;
        cachedBlocks.clear();
    }

    boolean isSuperseded(long other) {
        return supersededIncarnations.contains(other);
    }

    /** Stores a load report, which replaces all estimates for the attempts that it includes. */
    void onLoad(LoadReport report) {
        load = report;
        leaving = report.getLeaving();
        long counted = report.getCounted();
        unreportedAttempts.keySet().removeIf(number -> number <= counted);
        prefilledSinceReportTokens = 0;
        unreportedPromptTokens = unreportedAttempts.values().stream()
                .filter(attempt -> !attempt.prefillComplete)
                .mapToLong(attempt -> attempt.uncachedPromptTokens)
                .sum();
        for (long block : report.getCachedList()) {
            cachedBlocks.put(block, Boolean.TRUE);
        }
    }

    void addCachedBlocks(Iterable<Long> blocks) {
        for (Long block : blocks) {
            cachedBlocks.put(block, Boolean.TRUE);
        }
    }

    boolean hasCachedBlock(long block) {
        return cachedBlocks.containsKey(block);
    }

    boolean isListed() {
        return !listedBy.isEmpty();
    }

    /** Returns whether new attempts may be sent to this upstream. */
    boolean acceptsWork(long now) {
        return session != 0
                && isListed()
                && !leaving
                && !member.getLeaving()
                && !load.getChanging()
                && now >= avoidUntilNanos;
    }

    void addAttempt(AttemptRow attempt) {
        ownAttempts++;
        unreportedAttempts.put(attempt.key.number(), attempt);
        unreportedPromptTokens += attempt.uncachedPromptTokens;
    }

    void onPrefillComplete(AttemptRow attempt) {
        if (unreportedAttempts.containsKey(attempt.key.number())) {
            unreportedPromptTokens -= attempt.uncachedPromptTokens;
        } else {
            prefilledSinceReportTokens += attempt.uncachedPromptTokens;
        }
    }

    /** Estimates the queued prompt tokens: those of the last report, plus those sent since, less those prefilled. */
    long queuedPromptTokens() {
        return Math.max(0, load.getQueuedPromptTokens() + unreportedPromptTokens - prefilledSinceReportTokens);
    }

    /** Prefill rate in tokens per second: the rate that the engine reports, at most the configured rate. */
    double prefillTokensPerSecond(double configuredRate) {
        return load.getPrefillPerS() > 0 ? Math.min(load.getPrefillPerS(), configuredRate) : configuredRate;
    }

    /**
     * Estimates how many streams can run with the given gap between tokens, from the gap that the engine reports for
     * the streams running now. Without a reported gap it is the number of slots.
     */
    double maxStreamsAtGap(double gapSeconds) {
        int slots = Math.max(1, load.getSlots());
        double measured = load.getTokenGapUs() / 1e6;
        return measured == 0 ? slots : Math.min(slots, Math.max(1, load.getRunning()) * gapSeconds / measured);
    }

    /** Estimates the gap between tokens with one more stream: the reported gap, scaled by the attempts sent since. */
    double expectedTokenGapSeconds() {
        double measured = load.getTokenGapUs() / 1e6;
        int reported = Math.max(1, load.getRunning());
        return measured * (estimatedAttempts() + 1) / reported;
    }

    /** Estimates the attempts at the upstream: those in the last report, plus those this entry sent since. */
    int estimatedAttempts() {
        return Math.max(load.getRunning() + unreportedAttempts.size(), ownAttempts);
    }
}
