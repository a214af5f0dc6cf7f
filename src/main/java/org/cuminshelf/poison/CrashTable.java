package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.UpstreamCrash;

/**
 * Crashes of upstreams with the requests that were running there and the attributes that these share with others.
 *
 * <p>The table is a set that only grows: of a request or attribute at an upstream instance the highest
 * {@link Involvement} is kept, and of equal ones the highest number of requests. So reports of several processes merge
 * in any order, and a repeated report counts once. {@link CauseFinder} decides which of them caused the crashes.
 */
final class CrashTable {

    /** Most crashes kept: five days of 24 failed VMs. One takes up to 30 KB, with 128 requests and 256 attributes. */
    private static final int MAX_CRASHES = 128;
    /** Most requests kept of one crash: twice the slots of current engines. */
    private static final int MAX_REQUESTS_PER_CRASH = 128;
    /** Most shared attributes kept of one crash. */
    private static final int MAX_ATTRIBUTES_PER_CRASH = 256;

    private final Map<String, CrashRecord> crashes = new LinkedHashMap<>();
    private final Map<Fingerprint, Suspect> suspects = new HashMap<>();
    private final CauseFinder causeFinder = new CauseFinder(this);
    /** Number of the latest change. */
    private long lastChangeNumber;

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    boolean contains(String upstream) {
        return crashes.containsKey(upstream);
    }

    Collection<CrashRecord> crashes() {
        return crashes.values();
    }

    Optional<Suspect> suspect(Fingerprint fingerprint) {
        return Optional.ofNullable(suspects.get(fingerprint));
    }

    CauseFinder causeFinder() {
        return causeFinder;
    }

    /** Records that a whole request was at an upstream instance that crashed. Returns whether the table changed. */
    boolean recordRun(
            long now, String upstream, Fingerprint request, Involvement involvement, ChangeSequence sequence) {
        return recordRun(now, upstream, RequestAttribute.request(request), involvement, 1, sequence);
    }

    /**
     * Records that requests with an attribute were at an upstream instance that crashed. Returns whether this changed
     * the table.
     */
    boolean recordRun(
            long now,
            String upstream,
            RequestAttribute attribute,
            Involvement involvement,
            int requests,
            ChangeSequence sequence) {
        CrashRecord crash = crashes.computeIfAbsent(upstream, key -> new CrashRecord(key, now));
        CrashRecord.Run before = crash.runs.get(attribute.fingerprint());
        if (before != null && before.covers(involvement, requests)) {
            return false;
        }
        boolean full = before == null && isFull(crash, attribute.isShared());
        if (full && (involvement != Involvement.JUST_BEGUN || !evictUnderWay(crash, attribute.isShared()))) {
            return false;
        }
        boolean cleared = involvement == Involvement.CLEARED;
        long changeNumber = sequence.next(!cleared);
        crash.runs.put(attribute.fingerprint(), new CrashRecord.Run(attribute, involvement, requests, changeNumber));
        lastChangeNumber = Math.max(lastChangeNumber, changeNumber);
        Suspect suspect = suspects.computeIfAbsent(attribute.fingerprint(), key -> new Suspect(attribute));
        suspect.add(crash, cleared);
        if (!cleared) {
            crash.lastRequestAddedAt = now;
        }
        causeFinder.onChange(now, suspect, cleared);
        evictLeastInformative();
        return true;
    }

    private static boolean isFull(CrashRecord crash, boolean shared) {
        int most = shared ? MAX_ATTRIBUTES_PER_CRASH : MAX_REQUESTS_PER_CRASH;
        return crash.runs.size() >= most && crash.count(shared) >= most;
    }

    /**
     * Makes room for a request or attribute that had just begun, by removing one that had been running for a while.
     * Returns whether there was one.
     */
    private boolean evictUnderWay(CrashRecord crash, boolean shared) {
        Optional<Fingerprint> evicted = crash.runs.entrySet().stream()
                .filter(run -> run.getValue().involvement() == Involvement.UNDER_WAY)
                .filter(run -> run.getValue().attribute().isShared() == shared)
                .map(Map.Entry::getKey)
                .findFirst();
        evicted.ifPresent(fingerprint -> {
            crash.runs.remove(fingerprint);
            unlink(fingerprint, crash);
        });
        return evicted.isPresent();
    }

    /** Clears a whole request that succeeded of all crashes that are known. Returns whether this changed the table. */
    boolean clear(long now, Fingerprint fingerprint, ChangeSequence sequence) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null) {
            return false;
        }
        boolean urgent = causeFinder.isCandidate(suspect);
        boolean changed = false;
        for (CrashRecord crash : List.copyOf(suspect.unclearedCrashes())) {
            changed |= recordRun(
                    now, crash.upstream, suspect.attribute, Involvement.CLEARED, 1, suspected -> sequence.next(urgent));
        }
        return changed;
    }

    /** Returns the points of a request or attribute from crashes that no known poison request explains. */
    int points(Fingerprint fingerprint) {
        return suspect(fingerprint).map(CauseFinder::points).orElse(0);
    }

    /** Returns the upstream instances that crashed under a request, without the crashes that it was cleared of. */
    List<String> crashedUpstreams(Fingerprint fingerprint) {
        return suspect(fingerprint).stream()
                .flatMap(suspect -> suspect.unclearedCrashes().stream())
                .map(crash -> crash.upstream)
                .toList();
    }

    /** Returns the number of requests and attributes that were at any crash, including cleared ones. */
    int requestCount() {
        return suspects.size();
    }

    /** Returns the number of requests and attributes that may have caused a crash and were not cleared. */
    long suspectCount() {
        return suspects.values().stream()
                .filter(suspect -> CauseFinder.points(suspect) > 0)
                .count();
    }

    /** Updates which crashes a request explains, after it was quarantined or released. */
    void updateExplained(Fingerprint fingerprint, Predicate<Fingerprint> isPoison) {
        causeFinder.onExplainedChanged();
        suspect(fingerprint)
                .ifPresent(
                        suspect -> suspect.crashes().forEach(crash -> crash.explained = crash.hasUncleared(isPoison)));
    }

    /**
     * Checks whether a request has enough points to be poison while other requests at its crashes may not be reported
     * yet.
     */
    boolean isSettling(long now, Fingerprint fingerprint) {
        return causeFinder.isSettling(now, fingerprint);
    }

    /** Returns the requests and attributes that are poison as far as is known now, without those already known. */
    List<Fingerprint> findPoison(long now, Predicate<Fingerprint> isPoison) {
        return causeFinder.findPoison(now, isPoison);
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
        crash.runs.keySet().forEach(fingerprint -> unlink(fingerprint, crash));
    }

    private void unlink(Fingerprint fingerprint, CrashRecord crash) {
        Suspect suspect = suspects.get(fingerprint);
        suspect.remove(crash);
        if (suspect.isEmpty()) {
            suspects.remove(fingerprint);
            causeFinder.forget(suspect);
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
            crash.runs.values().stream()
                    .filter(run -> run.changeNumber() > changeNumber)
                    .forEach(run -> builder.addRuns(message(run)));
            if (builder.getRunsCount() > 0) {
                changed.add(builder.build());
            }
        }
        return changed;
    }

    private static CrashedRun message(CrashRecord.Run run) {
        RequestAttribute attribute = run.attribute();
        CrashedRun.Builder builder = CrashedRun.newBuilder()
                .setHigh(attribute.fingerprint().high())
                .setLow(attribute.fingerprint().low())
                .setInvolvement(run.involvement());
        if (attribute.isShared()) {
            builder.setKind(attribute.kind())
                    .setService(attribute.service())
                    .setName(attribute.name())
                    .setRequests(run.requests());
        }
        return builder.build();
    }
}
