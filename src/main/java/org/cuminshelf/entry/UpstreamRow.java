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

/** One upstream as this entry sees it. */
final class UpstreamRow {

    /** Prefix blocks remembered for each engine. */
    private static final int REMEMBERED_BLOCKS = 4096;

    private static final int SUPERSEDED_REMEMBERED = 8;

    final Address address;
    Member member;
    /** What control says of another incarnation than the one of the session. */
    private Member nextMember;
    /** Control processes that list it; gone only when none does. */
    final Set<Address> listedBy = new HashSet<>();

    long incarnation;
    /** Earlier incarnations; what they sent before they died may still arrive. */
    private final ArrayDeque<Long> superseded = new ArrayDeque<>();

    long session;
    long openSentAt;
    long lastHeard;
    /** When the first question was asked that is not answered yet; 0 where none is open. */
    long unansweredSince;

    long lastUsed;
    boolean leaving;
    LoadReport load = LoadReport.getDefaultInstance();
    /** Attempts sent that the last report does not count, by number. */
    final Map<Long, AttemptRow> uncounted = new HashMap<>();

    int running;
    /** Prompt tokens sent that the last report does not count, and those it counts that were taken in since. */
    private long promptUncounted;

    private long promptTakenSince;
    int failures;
    long avoidUntil;
    private final LinkedHashMap<Long, Boolean> cachedBlocks = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > REMEMBERED_BLOCKS;
        }
    };

    UpstreamRow(Member member) {
        this.address = Address.of(member.getAddress());
        this.member = member;
        this.incarnation = member.getIncarnation();
    }

    /** Takes what control says; words about another incarnation than that of the session wait until it is met. */
    void onMember(Member said) {
        if (session == 0 || said.getIncarnation() == incarnation) {
            incarnation = said.getIncarnation();
            member = said;
        } else {
            nextMember = said;
            openSentAt = 0;
        }
    }

    /** Starts over with a new incarnation: nothing known of the old one holds. */
    void restart(long newIncarnation) {
        superseded.add(incarnation);
        if (superseded.size() > SUPERSEDED_REMEMBERED) {
            superseded.poll();
        }
        incarnation = newIncarnation;
        boolean foretold = nextMember != null && nextMember.getIncarnation() == newIncarnation;
        member = foretold
                ? nextMember
                : member.toBuilder()
                        .setIncarnation(newIncarnation)
                        .setLeaving(false)
                        .build();
        nextMember = null;
        session = 0;
        openSentAt = 0;
        leaving = false;
        load = LoadReport.getDefaultInstance();
        uncounted.clear();
        running = 0;
        promptUncounted = 0;
        promptTakenSince = 0;
        cachedBlocks.clear();
    }

    boolean isSuperseded(long other) {
        return superseded.contains(other);
    }

    void onLoad(LoadReport report) {
        load = report;
        leaving = report.getLeaving();
        long counted = report.getCounted();
        uncounted.keySet().removeIf(number -> number <= counted);
        promptTakenSince = 0;
        promptUncounted = uncounted.values().stream()
                .filter(attempt -> !attempt.promptTaken)
                .mapToLong(attempt -> attempt.promptCost)
                .sum();
        for (long block : report.getCachedList()) {
            cachedBlocks.put(block, Boolean.TRUE);
        }
    }

    void remember(Iterable<Long> blocks) {
        for (Long block : blocks) {
            cachedBlocks.put(block, Boolean.TRUE);
        }
    }

    boolean holds(long block) {
        return cachedBlocks.containsKey(block);
    }

    boolean isListed() {
        return !listedBy.isEmpty();
    }

    /** Whether new work may be sent there. */
    boolean isOpen(long now) {
        return session != 0
                && isListed()
                && !leaving
                && !member.getLeaving()
                && !load.getChanging()
                && now >= avoidUntil;
    }

    void sent(AttemptRow attempt) {
        running++;
        uncounted.put(attempt.key.number(), attempt);
        promptUncounted += attempt.promptCost;
    }

    void promptTaken(AttemptRow attempt) {
        if (uncounted.containsKey(attempt.key.number())) {
            promptUncounted -= attempt.promptCost;
        } else {
            promptTakenSince += attempt.promptCost;
        }
    }

    /** Prompt tokens that wait there now: the last report, what was sent since, less what was taken in since. */
    long promptWaiting() {
        return Math.max(0, load.getQueuedPromptTokens() + promptUncounted - promptTakenSince);
    }

    /** Prompt tokens it takes in a second: measured there, or a first guess. */
    double prefillPerSecond(double firstGuess) {
        return load.getPrefillPerS() > 0 ? Math.min(load.getPrefillPerS(), firstGuess) : firstGuess;
    }

    /** Streams it can run at a gap between tokens, by the gap measured with those it runs. */
    double streamsAt(double gapSeconds) {
        int slots = Math.max(1, load.getSlots());
        double measured = load.getTokenGapUs() / 1e6;
        return measured == 0 ? slots : Math.min(slots, Math.max(1, load.getRunning()) * gapSeconds / measured);
    }

    /** Seconds between tokens to expect with one stream more: measured there, and longer by what was sent since. */
    double tokenGapSeconds() {
        double measured = load.getTokenGapUs() / 1e6;
        int reported = Math.max(1, load.getRunning());
        return measured * (occupancy() + 1) / reported;
    }

    /** Attempts there now: the last report, and what this entry sent since. */
    int occupancy() {
        return Math.max(load.getRunning() + uncounted.size(), running);
    }
}
