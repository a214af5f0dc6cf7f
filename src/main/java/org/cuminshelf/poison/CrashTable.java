package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.UpstreamCrash;

/**
 * Which requests were at upstreams that crashed, and which of them is the cause.
 *
 * <p>The table is a set that only grows: of a request at a start of an upstream the highest {@link Involvement} stands.
 * So what several processes tell merges in any order, and what is told twice counts once.
 *
 * <p>A request is found to be poison when three starts crashed under it just after it had begun, and no other request
 * was at all of these crashes too. One that had run for a while counts half: a poison request ends an upstream when it
 * begins to run. Failure this guards against: a harmless stream that goes on elsewhere after a crash, beside the
 * poison request that goes on there too, is at the next crash as well, and is refused for ever. A harmless request is
 * cleared by one answer that ends well.
 */
final class CrashTable {

    /** Points of a request that had just begun, for each crash. */
    private static final int JUST_BEGUN_POINTS = 2;
    /** Points of one that had run for a while. */
    private static final int UNDER_WAY_POINTS = 1;
    /** Points from which a request may be poison: three crashes just after it began, or six. */
    static final int POISON_POINTS = 3 * JUST_BEGUN_POINTS;
    /** Points from which a request is poison whatever else is known: five crashes just after it began. */
    private static final int CERTAIN_POINTS = 5 * JUST_BEGUN_POINTS;
    /**
     * Other crashes without an explanation, within {@link #STORM_WINDOW_NANOS}, for each of which one more crash is
     * asked for. In a storm of crashes by chance, one each two seconds at four engines, one harmless request in some
     * 2,200 that were at a crash was at three just after it began; with this, see the test, fewer than one in 10,000
     * are refused.
     */
    private static final int UNRELATED_CRASHES_PER_EXTRA_CRASH = 3;

    private static final long STORM_WINDOW_NANOS = Durations.nanos(30_000);
    /**
     * Quiet after which all that were at a crash have been told of: connections break within 20 ms, a process tells of
     * it at once, and whoever hears passes it on within 20 ms. It is a tenth of the shortest time in which all entries
     * must know a poison request.
     */
    private static final long SETTLE_NANOS = Durations.nanos(300);
    /** Crashes kept at the most: five days of 24 failed VMs. One takes up to 10 KB, with 128 requests. */
    private static final int MAX_CRASHES = 128;
    /** Requests kept of one crash at the most: twice the places of the engines of today. */
    private static final int MAX_REQUESTS_PER_CRASH = 128;

    private final Map<String, CrashRecord> crashes = new LinkedHashMap<>();
    private final Map<Fingerprint, Set<CrashRecord>> byRequest = new HashMap<>();
    /** Requests with enough points to be poison, perhaps fewer by now. */
    private final Set<Fingerprint> candidates = new LinkedHashSet<>();

    private long nextCheck = Core.NEVER;
    /** Number of the newest change. */
    private long lastChangeNumber;

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    boolean contains(String upstream) {
        return crashes.containsKey(upstream);
    }

    /** Notes that a request was at a start that crashed. Returns whether that is news. */
    boolean record(long now, String upstream, Fingerprint request, Involvement involvement, ChangeSequence sequence) {
        CrashRecord crash = crashes.computeIfAbsent(upstream, key -> new CrashRecord(key, now));
        CrashRecord.Run before = crash.runs.get(request);
        if (before != null && before.involvement().getNumber() >= involvement.getNumber()) {
            return false;
        }
        boolean full = before == null && crash.runs.size() >= MAX_REQUESTS_PER_CRASH;
        if (full && (involvement != Involvement.JUST_BEGUN || !evictUnderWay(crash))) {
            return false;
        }
        boolean suspect = involvement != Involvement.CLEARED;
        long changeNumber = sequence.next(suspect);
        crash.runs.put(request, new CrashRecord.Run(involvement, changeNumber));
        lastChangeNumber = Math.max(lastChangeNumber, changeNumber);
        byRequest.computeIfAbsent(request, key -> new LinkedHashSet<>()).add(crash);
        if (suspect) {
            crash.lastRequestAddedAt = now;
        } else if (!candidates.isEmpty()) {
            nextCheck = now;
        }
        if (points(request) >= POISON_POINTS) {
            candidates.add(request);
            nextCheck = Math.min(nextCheck, now + SETTLE_NANOS);
        }
        evictLeastInformative();
        return true;
    }

    /** Makes room for one more request that had just begun, by forgetting one that had run for a while. */
    private boolean evictUnderWay(CrashRecord crash) {
        Optional<Fingerprint> evicted = crash.runs.entrySet().stream()
                .filter(run -> run.getValue().involvement() == Involvement.UNDER_WAY)
                .map(Map.Entry::getKey)
                .findFirst();
        evicted.ifPresent(request -> {
            crash.runs.remove(request);
            unlink(request, crash);
        });
        return evicted.isPresent();
    }

    /** A request ended well: it caused none of the crashes that are known. Returns whether that is news. */
    boolean clear(long now, Fingerprint request, ChangeSequence sequence) {
        boolean urgent = points(request) >= POISON_POINTS;
        boolean changed = false;
        for (CrashRecord crash : List.copyOf(byRequest.getOrDefault(request, Set.of()))) {
            changed |= record(now, crash.upstream, request, Involvement.CLEARED, suspect -> sequence.next(urgent));
        }
        return changed;
    }

    /** Points of a request, from crashes that no request known to be poison explains. */
    int points(Fingerprint request) {
        int points = 0;
        for (CrashRecord crash : byRequest.getOrDefault(request, Set.of())) {
            points += crash.explained ? 0 : points(crash, request);
        }
        return points;
    }

    private static int points(CrashRecord crash, Fingerprint request) {
        CrashRecord.Run run = crash.runs.get(request);
        if (run == null) {
            return 0;
        }
        return switch (run.involvement()) {
            case JUST_BEGUN -> JUST_BEGUN_POINTS;
            case UNDER_WAY -> UNDER_WAY_POINTS;
            default -> 0;
        };
    }

    /** The starts that crashed under a request, unless it was cleared since. */
    List<String> crashedUpstreams(Fingerprint request) {
        return byRequest.getOrDefault(request, Set.of()).stream()
                .filter(crash -> points(crash, request) > 0)
                .map(crash -> crash.upstream)
                .toList();
    }

    /** Requests that were at any crash, cleared ones among them. */
    int requestCount() {
        return byRequest.size();
    }

    /** Requests that may have caused a crash and weren't cleared. */
    long suspectCount() {
        return byRequest.keySet().stream()
                .filter(request -> points(request) > 0)
                .count();
    }

    /** Looks anew which crashes a request explains, after it was found to be poison or was released. */
    void updateExplained(Fingerprint request, Predicate<Fingerprint> isPoison) {
        for (CrashRecord crash : byRequest.getOrDefault(request, Set.of())) {
            crash.explained = crash.hasUncleared(isPoison);
        }
    }

    /** Whether a request has the points of poison and who else was there may not be known yet. */
    boolean isSettling(long now, Fingerprint request) {
        return candidates.contains(request) && points(request) >= POISON_POINTS && now < settledAt(request);
    }

    long nextDue() {
        return nextCheck;
    }

    /** Finds the requests that are poison by what is known now, but for those that are known to be. */
    List<Fingerprint> findPoison(long now, Predicate<Fingerprint> isPoison) {
        if (now < nextCheck) {
            return List.of();
        }
        nextCheck = Core.NEVER;
        candidates.removeIf(request -> points(request) < POISON_POINTS || isPoison.test(request));
        List<Fingerprint> found = new ArrayList<>();
        for (Fingerprint request : candidates) {
            long settledAt = settledAt(request);
            if (now < settledAt) {
                nextCheck = Math.min(nextCheck, settledAt);
            } else if (isPoison(request)) {
                found.add(request);
            }
        }
        return found;
    }

    private long settledAt(Fingerprint request) {
        return SETTLE_NANOS
                + byRequest.get(request).stream()
                        .mapToLong(crash -> crash.lastRequestAddedAt)
                        .max()
                        .orElse(0);
    }

    private boolean isPoison(Fingerprint request) {
        int points = points(request);
        if (points >= CERTAIN_POINTS) {
            return true;
        }
        long needed =
                POISON_POINTS + recentUnrelatedCrashes(request) / UNRELATED_CRASHES_PER_EXTRA_CRASH * JUST_BEGUN_POINTS;
        return points >= needed && !hasEquallySuspectRequest(request);
    }

    /** Crashes of late where this request was not, and that no known poison request explains. */
    private long recentUnrelatedCrashes(Fingerprint request) {
        Set<CrashRecord> own = unexplainedCrashes(request);
        long since =
                own.stream().mapToLong(crash -> crash.firstReportedAt).max().orElse(0) - STORM_WINDOW_NANOS;
        return crashes.values().stream()
                .filter(crash -> !crash.explained && crash.firstReportedAt >= since && !crash.runs.containsKey(request))
                .count();
    }

    /** Whether another request was at all crashes of this one, and is as likely the cause. */
    private boolean hasEquallySuspectRequest(Fingerprint request) {
        Set<CrashRecord> own = unexplainedCrashes(request);
        int points = points(request);
        return own.iterator().next().runs.keySet().stream()
                .filter(other -> !other.equals(request) && points(other) >= points)
                .anyMatch(other -> unexplainedCrashes(other).containsAll(own));
    }

    private Set<CrashRecord> unexplainedCrashes(Fingerprint request) {
        return byRequest.get(request).stream()
                .filter(crash -> !crash.explained && points(crash, request) > 0)
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /**
     * Keeps the table bounded. What goes first is the crash that says least: of which no request has points from other
     * crashes too; of equals the oldest. Guards against a flood of other crashes that pushes out what is known of a
     * poison request.
     */
    private void evictLeastInformative() {
        if (crashes.size() <= MAX_CRASHES) {
            return;
        }
        // Iteration is from the oldest, and the first of equals is taken. The newest is not weighed: it has just begun.
        List<CrashRecord> oldestFirst = List.copyOf(crashes.values());
        oldestFirst.subList(0, oldestFirst.size() - 1).stream()
                .min(Comparator.comparingInt(this::maxPoints))
                .ifPresent(this::evict);
    }

    private int maxPoints(CrashRecord crash) {
        return crash.runs.keySet().stream().mapToInt(this::points).max().orElse(0);
    }

    private void evict(CrashRecord crash) {
        crashes.remove(crash.upstream);
        crash.runs.keySet().forEach(request -> unlink(request, crash));
    }

    private void unlink(Fingerprint request, CrashRecord crash) {
        Set<CrashRecord> others = byRequest.get(request);
        others.remove(crash);
        if (others.isEmpty()) {
            byRequest.remove(request);
            candidates.remove(request);
        }
    }

    /** What changed since a number. Each subscriber asks twice a second, mostly when nothing did: that costs little. */
    List<UpstreamCrash> changedSince(long changeNumber) {
        if (changeNumber >= lastChangeNumber) {
            return List.of();
        }
        List<UpstreamCrash> changed = new ArrayList<>();
        for (CrashRecord crash : crashes.values()) {
            UpstreamCrash.Builder builder = UpstreamCrash.newBuilder().setUpstream(crash.upstream);
            crash.runs.forEach((request, run) -> {
                if (run.changeNumber() > changeNumber) {
                    builder.addRuns(CrashedRun.newBuilder()
                            .setHigh(request.high())
                            .setLow(request.low())
                            .setInvolvement(run.involvement()));
                }
            });
            if (builder.getRunsCount() > 0) {
                changed.add(builder.build());
            }
        }
        return changed;
    }
}
