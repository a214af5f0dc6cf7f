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
 * Crashes of upstreams with the requests that were running there, and the search for the request that causes them.
 *
 * <p>The table is a set that only grows: of a request at an upstream instance the highest {@link Involvement} is kept.
 * So reports of several processes merge in any order, and a repeated report counts once.
 *
 * <p>A request is poison if three upstream instances crashed under it just after it had begun, and no other request was
 * at all of these crashes too. A request that had been running for a while counts half, since a poison request crashes
 * an upstream when it begins to run. Otherwise a harmless stream that is resumed elsewhere after a crash, together with
 * the poison request, would be at the next crash too and be refused permanently. A harmless request is cleared by one
 * success.
 */
final class CrashTable {

    /** Points of a request that had just begun, for each crash. */
    private static final int JUST_BEGUN_POINTS = 2;
    /** Points of a request that had been running for a while, for each crash. */
    private static final int UNDER_WAY_POINTS = 1;
    /** Points from which a request may be poison: three crashes just after it began, or six later ones. */
    static final int POISON_POINTS = 3 * JUST_BEGUN_POINTS;
    /** Points from which a request is poison regardless of other requests: five crashes just after it began. */
    private static final int CERTAIN_POINTS = 5 * JUST_BEGUN_POINTS;
    /**
     * Number of other unexplained crashes, within {@link #STORM_WINDOW_NANOS}, for each of which one more crash is
     * required. In a storm of random crashes, one every two seconds at four engines, one harmless request in some 2,200
     * that were at a crash was at three just after it began; with this rule fewer than one in 10,000 are refused, see
     * the test.
     */
    private static final int UNRELATED_CRASHES_PER_EXTRA_CRASH = 3;

    private static final long STORM_WINDOW_NANOS = Durations.nanos(30_000);
    /**
     * Time without another report after which all requests at a crash have been reported: connections break within 20
     * ms, a process reports this at once, and the receiver forwards it within 20 ms. It is a tenth of the shortest time
     * within which all entries must know a poison request.
     */
    private static final long SETTLE_NANOS = Durations.nanos(300);
    /** Most crashes kept: five days of 24 failed VMs. One takes up to 10 KB, with 128 requests. */
    private static final int MAX_CRASHES = 128;
    /** Most requests kept of one crash: twice the slots of current engines. */
    private static final int MAX_REQUESTS_PER_CRASH = 128;

    private final Map<String, CrashRecord> crashes = new LinkedHashMap<>();
    private final Map<Fingerprint, Set<CrashRecord>> byRequest = new HashMap<>();
    /** Requests that had enough points to be poison when they were added; they may have fewer by now. */
    private final Set<Fingerprint> candidates = new LinkedHashSet<>();

    private long nextCheck = Core.NEVER;
    /** Number of the latest change. */
    private long lastChangeNumber;

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    boolean contains(String upstream) {
        return crashes.containsKey(upstream);
    }

    /** Records that a request was at an upstream instance that crashed. Returns whether this changed the table. */
    boolean recordRun(
            long now, String upstream, Fingerprint request, Involvement involvement, ChangeSequence sequence) {
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

    /**
     * Makes room for a request that had just begun, by removing one that had been running for a while. Returns whether
     * there was one.
     */
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

    /** Clears a request that succeeded of all crashes that are known. Returns whether this changed the table. */
    boolean clear(long now, Fingerprint request, ChangeSequence sequence) {
        boolean urgent = points(request) >= POISON_POINTS;
        boolean changed = false;
        for (CrashRecord crash : List.copyOf(byRequest.getOrDefault(request, Set.of()))) {
            changed |= recordRun(now, crash.upstream, request, Involvement.CLEARED, suspect -> sequence.next(urgent));
        }
        return changed;
    }

    /** Returns the points of a request from crashes that no known poison request explains. */
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

    /** Returns the upstream instances that crashed under a request, without the crashes that it was cleared of. */
    List<String> crashedUpstreams(Fingerprint request) {
        return byRequest.getOrDefault(request, Set.of()).stream()
                .filter(crash -> points(crash, request) > 0)
                .map(crash -> crash.upstream)
                .toList();
    }

    /** Returns the number of requests that were at any crash, including cleared ones. */
    int requestCount() {
        return byRequest.size();
    }

    /** Returns the number of requests that may have caused a crash and were not cleared. */
    long suspectCount() {
        return byRequest.keySet().stream()
                .filter(request -> points(request) > 0)
                .count();
    }

    /** Updates which crashes a request explains, after it was quarantined or released. */
    void updateExplained(Fingerprint request, Predicate<Fingerprint> isPoison) {
        for (CrashRecord crash : byRequest.getOrDefault(request, Set.of())) {
            crash.explained = crash.hasUncleared(isPoison);
        }
    }

    /**
     * Checks whether a request has enough points to be poison while other requests at its crashes may not be reported
     * yet.
     */
    boolean isSettling(long now, Fingerprint request) {
        return candidates.contains(request) && points(request) >= POISON_POINTS && now < settledAt(request);
    }

    long nextDue() {
        return nextCheck;
    }

    /** Returns the requests that are poison as far as is known now, without those that are already known to be. */
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

    /** Counts recent crashes at which the request was not running and that no known poison request explains. */
    private long recentUnrelatedCrashes(Fingerprint request) {
        Set<CrashRecord> own = unexplainedCrashes(request);
        long since =
                own.stream().mapToLong(crash -> crash.firstReportedAt).max().orElse(0) - STORM_WINDOW_NANOS;
        return crashes.values().stream()
                .filter(crash -> !crash.explained && crash.firstReportedAt >= since && !crash.runs.containsKey(request))
                .count();
    }

    /** Checks whether another request was at all crashes of this one and is as likely to be the cause. */
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
     * Keeps the table bounded by evicting the crash with the least evidence: the one whose highest points of any
     * request are lowest, and the oldest of several such. Otherwise many unrelated crashes would evict the evidence
     * against a poison request.
     */
    private void evictLeastInformative() {
        if (crashes.size() <= MAX_CRASHES) {
            return;
        }
        // Ordered from the oldest, so min() takes the oldest of equals. The newest is kept: its reports have just
        // begun.
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

    /**
     * Returns the changes since a number. Each subscriber polls twice a second, usually without any change, so that
     * case is cheap.
     */
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
