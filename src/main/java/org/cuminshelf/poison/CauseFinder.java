package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.AttributeKind;

/**
 * Finds what caused the crashes in a {@link CrashTable}: one request that returned, or an attribute that requests
 * share.
 *
 * <p>A request is poison if three upstream instances crashed under it just after it had begun, and no other request
 * was at all of these crashes too. A request that had been running for a while counts half, since a poison request
 * crashes an upstream when it begins to run. Otherwise a harmless stream that is resumed elsewhere after a crash,
 * together with the poison request, would be at the next crash too and be refused permanently. A harmless request is
 * cleared by one success.
 *
 * <p>A shared attribute is poison if upstream instances crashed under requests with it at three times that lie apart,
 * no request with it has succeeded since, other requests of the service have, and nothing else explains these crashes
 * better. At a crash popular attributes are always present, so that presence alone says nothing: what tells them apart
 * is that their requests succeed. Crashes at one time count once, as many upstreams may fail together for another
 * cause.
 */
final class CauseFinder {

    /** Points of a request that had just begun, for each crash. */
    private static final int JUST_BEGUN_POINTS = 2;
    /** Points of a request that had been running for a while, for each crash. */
    private static final int UNDER_WAY_POINTS = 1;
    /** Points from which a request may be poison: three crashes just after it began, or six later ones. */
    private static final int POISON_POINTS = 3 * JUST_BEGUN_POINTS;
    /** Points from which a request is poison regardless of other requests: five crashes just after it began. */
    private static final int CERTAIN_POINTS = 5 * JUST_BEGUN_POINTS;
    /**
     * Number of other unexplained crashes, within {@link #STORM_WINDOW_NANOS}, for each of which one more crash is
     * required of a request. In a storm of random crashes, one every two seconds at four engines, one harmless request
     * in some 2,200 that were at a crash was at three just after it began; with this rule fewer than one in 10,000 are
     * refused, see the test. Of a shared attribute, which many requests have, each such crash requires one more.
     */
    private static final int UNRELATED_CRASHES_PER_EXTRA_CRASH = 3;

    private static final long STORM_WINDOW_NANOS = Durations.nanos(30_000);
    /**
     * Time without another report after which all requests at a crash have been reported: connections break within 20
     * ms, a process reports this at once, and the receiver forwards it within 20 ms. It is a tenth of the shortest time
     * within which all entries must know a poison request.
     */
    private static final long SETTLE_NANOS = Durations.nanos(300);
    /** Time without another report after which the entries at a crash have told each other who was there. */
    private static final long SPREAD_NANOS = Durations.nanos(50);
    /** Crashes from which requests with a shared attribute are held back at times. */
    private static final int MIN_CRASHES_TO_HOLD_BACK = 2;
    /** Times of crashes from which each further one lengthens the time for which they are held back. */
    private static final int MIN_TIMES_TO_GROW = 2;
    /** Factor by which it grows. */
    private static final int HOLD_BACK_GROWTH = 3;
    /** Upper bound of the steps by which it grows. */
    private static final int MAX_GROWTH_STEPS = 5;
    /**
     * Answers of the service that have to end well, for each time at which upstreams crashed, before an attribute is
     * poison. While little is served, nothing tells it from other attributes.
     */
    private static final int MIN_ANSWERS_PER_TIME = 3;

    /** Answers that have to end well beside a caller, model or route before its requests are held back. */
    private static final int MIN_ANSWERS_BESIDE = 5;

    private static final Comparator<CrashRecord> BY_TIME = Comparator.comparingLong(crash -> crash.firstReportedAt);

    private final CrashTable table;
    /** What was at enough crashes to be held back or to be poison when it was added; it may be at fewer by now. */
    private final Map<Fingerprint, Suspect> candidates = new LinkedHashMap<>();

    private long nextCheck = Core.NEVER;
    /** The suspects that take turns at trials; empty if they have to be determined anew. */
    private Optional<TrialOrder> trialOrder = Optional.empty();

    CauseFinder(CrashTable table) {
        this.table = table;
    }

    // ---- changes

    /** Records that a suspect was at one more crash, or was cleared of one. */
    void onChange(long now, Suspect suspect, boolean cleared) {
        trialOrder = Optional.empty();
        if (cleared && !candidates.isEmpty()) {
            nextCheck = now;
        }
        if (isCandidate(suspect)) {
            candidates.put(suspect.fingerprint(), suspect);
            nextCheck = Math.min(nextCheck, now + SETTLE_NANOS);
        }
    }

    /** Counts an answer of a service that ended well here, after its attributes were cleared. */
    void countAnswer(String service) {
        for (Suspect suspect : candidates.values()) {
            if (suspect.attribute.service().equals(service)) {
                suspect.countAnswerBesideIt();
                if (suspect.answersBesideIt() == MIN_ANSWERS_BESIDE) {
                    trialOrder = Optional.empty();
                }
            }
        }
    }

    boolean isCandidate(Suspect suspect) {
        return suspect.isShared()
                ? suspect.unclearedCrashes().size() >= MIN_CRASHES_TO_HOLD_BACK
                : points(suspect) >= POISON_POINTS;
    }

    /** Records that crashes became explained or unexplained. */
    void onExplainedChanged() {
        trialOrder = Optional.empty();
    }

    void forget(Suspect suspect) {
        trialOrder = Optional.empty();
        candidates.remove(suspect.fingerprint());
    }

    // ---- points

    /** Returns the points of a suspect from crashes that no known poison request explains. */
    static int points(Suspect suspect) {
        List<CrashRecord> crashes = suspect.unexplainedCrashes();
        return suspect.isShared() ? pointsByTime(suspect, crashes) : pointsOfAll(suspect, crashes);
    }

    private static int pointsOfAll(Suspect suspect, List<CrashRecord> crashes) {
        return crashes.stream().mapToInt(crash -> points(crash, suspect)).sum();
    }

    /** Adds up the highest points of each time, of crashes that are less than {@link #SETTLE_NANOS} apart. */
    private static int pointsByTime(Suspect suspect, List<CrashRecord> crashes) {
        int sum = 0;
        int highest = 0;
        long timeBegan = Long.MIN_VALUE;
        for (CrashRecord crash : crashes.stream().sorted(BY_TIME).toList()) {
            if (highest == 0 || crash.firstReportedAt - timeBegan >= SETTLE_NANOS) {
                sum += highest;
                highest = 0;
                timeBegan = crash.firstReportedAt;
            }
            highest = Math.max(highest, points(crash, suspect));
        }
        return sum + highest;
    }

    private static int points(CrashRecord crash, Suspect suspect) {
        CrashRecord.Run run = crash.runs.get(suspect.fingerprint());
        if (run == null) {
            return 0;
        }
        return switch (run.involvement()) {
            case JUST_BEGUN -> JUST_BEGUN_POINTS;
            case UNDER_WAY -> UNDER_WAY_POINTS;
            default -> 0;
        };
    }

    // ---- decisions

    boolean isSettling(long now, Fingerprint fingerprint) {
        Suspect suspect = candidates.get(fingerprint);
        return suspect != null && !suspect.isShared() && points(suspect) >= POISON_POINTS && now < settledAt(suspect);
    }

    long nextDue() {
        return nextCheck;
    }

    /** Returns what is poison as far as is known now, without what is already known to be. */
    List<Fingerprint> findPoison(long now, Predicate<Fingerprint> isPoison) {
        if (now < nextCheck) {
            return List.of();
        }
        nextCheck = Core.NEVER;
        candidates.values().removeIf(suspect -> !isCandidate(suspect) || isPoison.test(suspect.fingerprint()));
        List<Fingerprint> found = new ArrayList<>();
        for (Suspect suspect : candidates.values()) {
            if (points(suspect) < POISON_POINTS) {
                continue;
            }
            long settledAt = settledAt(suspect);
            if (now < settledAt) {
                nextCheck = Math.min(nextCheck, settledAt);
            } else if (isPoison(suspect)) {
                found.add(suspect.fingerprint());
            } else if (suspect.isShared()) {
                nextCheck = Math.min(nextCheck, now + SETTLE_NANOS);
            }
        }
        return found;
    }

    private static long settledAt(Suspect suspect) {
        return SETTLE_NANOS
                + suspect.crashes().stream()
                        .mapToLong(crash -> crash.lastRequestAddedAt)
                        .max()
                        .orElse(0);
    }

    private boolean isPoison(Suspect suspect) {
        return suspect.isShared() ? isPoisonAttribute(suspect) : isPoisonRequest(suspect);
    }

    private boolean isPoisonRequest(Suspect suspect) {
        int points = points(suspect);
        if (points >= CERTAIN_POINTS) {
            return true;
        }
        return points >= neededPoints(suspect)
                && suspectsAtAllCrashesOf(suspect).stream()
                        .noneMatch(other ->
                                other.isShared() ? isStronger(other, suspect, Set.of()) : points(other) >= points);
    }

    private boolean isPoisonAttribute(Suspect suspect) {
        int points = points(suspect);
        if (points < neededPoints(suspect) || !othersSucceeded(suspect) || !isNeededToExplain(suspect)) {
            return false;
        }
        List<CrashRecord> crashes = suspect.unexplainedCrashes();
        boolean certain = points >= CERTAIN_POINTS;
        return suspectsAtAllCrashesOf(suspect).stream()
                .noneMatch(other -> points(other) == points
                        && (certain ? isNarrower(other, suspect, crashes) : !isNarrower(suspect, other, crashes)));
    }

    private int neededPoints(Suspect suspect) {
        int unrelated = recentUnrelatedCrashes(suspect);
        int extraCrashes = suspect.isShared() ? unrelated : unrelated / UNRELATED_CRASHES_PER_EXTRA_CRASH;
        return Math.min(CERTAIN_POINTS, POISON_POINTS + extraCrashes * JUST_BEGUN_POINTS);
    }

    /** Counts recent crashes at which the suspect was not and that no known poison request explains. */
    private int recentUnrelatedCrashes(Suspect suspect) {
        long since = lastReportedAt(suspect.unexplainedCrashes()) - STORM_WINDOW_NANOS;
        return (int) table.crashes().stream()
                .filter(crash -> !crash.explained
                        && crash.firstReportedAt >= since
                        && !crash.runs.containsKey(suspect.fingerprint()))
                .count();
    }

    private static long lastReportedAt(Collection<CrashRecord> crashes) {
        return crashes.stream().mapToLong(crash -> crash.firstReportedAt).max().orElse(0);
    }

    /** Checks whether enough answers of the service had ended well beside an attribute before its latest crash. */
    private static boolean othersSucceeded(Suspect suspect) {
        return suspect.answersBeforeLatestCrash() >= (long) MIN_ANSWERS_PER_TIME * times(suspect);
    }

    /** Returns at how many times upstreams crashed under requests that had just begun. */
    private static int times(Suspect suspect) {
        return points(suspect) / JUST_BEGUN_POINTS;
    }

    /**
     * Checks whether a suspect is needed to explain the crashes: it has enough points from those that no stronger
     * suspect explains. So what happens to be at the crashes of two poison attributes is not taken for a third.
     */
    private boolean isNeededToExplain(Suspect suspect) {
        Set<CrashRecord> explained = new HashSet<>();
        List<Suspect> others = new ArrayList<>(candidates.values());
        others.remove(suspect);
        while (true) {
            int own = pointsByTime(suspect, remaining(suspect, explained));
            Optional<Suspect> strongest = strongest(others, explained);
            if (own < POISON_POINTS) {
                return false;
            }
            if (strongest.isEmpty() || !isStronger(strongest.get(), suspect, explained)) {
                return true;
            }
            explained.addAll(strongest.get().unexplainedCrashes());
            others.remove(strongest.get());
        }
    }

    private static Optional<Suspect> strongest(List<Suspect> suspects, Set<CrashRecord> explained) {
        Suspect strongest = null;
        for (Suspect suspect : suspects) {
            if (strongest == null || isStronger(suspect, strongest, explained)) {
                strongest = suspect;
            }
        }
        return Optional.ofNullable(strongest);
    }

    /** Checks whether a suspect was at more crashes that nothing else explains, or at as many with more points. */
    private static boolean isStronger(Suspect one, Suspect other, Set<CrashRecord> explained) {
        List<CrashRecord> ofOne = remaining(one, explained);
        List<CrashRecord> ofOther = remaining(other, explained);
        int crashes = ofOne.size() - ofOther.size();
        return crashes > 0 || crashes == 0 && pointsByTime(one, ofOne) > pointsByTime(other, ofOther);
    }

    private static List<CrashRecord> remaining(Suspect suspect, Set<CrashRecord> explained) {
        return suspect.unexplainedCrashes().stream()
                .filter(crash -> !explained.contains(crash))
                .toList();
    }

    private static boolean isNarrower(Suspect one, Suspect other, List<CrashRecord> crashes) {
        long requestsOfOne = requests(one, crashes);
        long requestsOfOther = requests(other, crashes);
        return requestsOfOne < requestsOfOther
                || requestsOfOne == requestsOfOther
                        && one.attribute.kind().getNumber()
                                < other.attribute.kind().getNumber();
    }

    private static long requests(Suspect suspect, List<CrashRecord> crashes) {
        return crashes.stream()
                .mapToLong(crash -> crash.runs.get(suspect.fingerprint()).requests())
                .sum();
    }

    /** Returns the others that may have caused all crashes that a suspect may have caused. */
    private List<Suspect> suspectsAtAllCrashesOf(Suspect suspect) {
        return suspectsAtAll(suspect.unexplainedCrashes(), suspect);
    }

    private List<Suspect> suspectsAtAll(List<CrashRecord> crashes, Suspect suspect) {
        if (crashes.isEmpty()) {
            return List.of();
        }
        return crashes.getFirst().runs.keySet().stream()
                .filter(fingerprint -> !fingerprint.equals(suspect.fingerprint()))
                .map(table::suspect)
                .flatMap(Optional::stream)
                .filter(other -> other.unclearedCrashes().containsAll(crashes))
                .toList();
    }

    // ---- holding back

    /**
     * Returns for how long requests with a shared attribute are held back, if they may have caused crashes. Those that
     * come after that time show whether they did. The time grows with each crash.
     */
    Optional<HoldBack> holdBack(long now, Fingerprint fingerprint) {
        Suspect suspect = candidates.get(fingerprint);
        if (suspect == null || !suspect.isShared()) {
            return Optional.empty();
        }
        List<CrashRecord> crashes = suspect.unexplainedCrashes();
        List<CrashRecord> reported = crashes.stream()
                .filter(crash -> now >= crash.lastRequestAddedAt + SPREAD_NANOS)
                .toList();
        if (isLikelyCause(suspect, reported)) {
            return Optional.of(holdBackFrom(now, suspect));
        }
        if (isLikelyCause(suspect, crashes)) {
            long allReportedAt = SPREAD_NANOS
                    + crashes.stream()
                            .mapToLong(crash -> crash.lastRequestAddedAt)
                            .max()
                            .orElse(0);
            return Optional.of(holdBackFrom(allReportedAt, suspect));
        }
        return Optional.empty();
    }

    /** Checks whether nothing that fewer requests had was at all of these crashes too. */
    private boolean isLikelyCause(Suspect suspect, List<CrashRecord> crashes) {
        if (crashes.size() < MIN_CRASHES_TO_HOLD_BACK || !isDistinguished(suspect)) {
            return false;
        }
        int points = pointsByTime(suspect, crashes);
        return suspectsAtAll(crashes, suspect).stream()
                .noneMatch(other -> pointsByTime(other, crashes) >= points && isNarrower(other, suspect, crashes));
    }

    /**
     * Checks whether answers have ended well beside an attribute: of segments one anywhere, which cleared others that
     * were at its crashes, and of what more requests share several here. Otherwise an attribute that most requests have
     * would be held back whenever several upstreams crash.
     */
    private static boolean isDistinguished(Suspect suspect) {
        return suspect.attribute.kind() == AttributeKind.PROMPT_SEGMENT
                ? suspect.unexplainedCrashes().stream().anyMatch(CrashRecord::hasClearedAttribute)
                : suspect.answersBesideIt() >= MIN_ANSWERS_BESIDE;
    }

    private HoldBack holdBackFrom(long fromNanos, Suspect suspect) {
        int times = times(suspect);
        int steps = Math.clamp(times - MIN_TIMES_TO_GROW, 0, MAX_GROWTH_STEPS);
        long factor = (long) Math.pow(HOLD_BACK_GROWTH, steps);
        long untilNanos = lastReportedAt(suspect.unexplainedCrashes()) + SETTLE_NANOS * factor;
        return new HoldBack(
                suspect.attribute,
                fromNanos,
                untilNanos,
                times > 1,
                trialOrder().turnOf(suspect));
    }

    private TrialOrder trialOrder() {
        if (trialOrder.isEmpty()) {
            trialOrder = Optional.of(TrialOrder.of(candidates.values().stream()
                    .filter(suspect -> suspect.isShared() && isLikelyCause(suspect, suspect.unexplainedCrashes()))
                    .toList()));
        }
        return trialOrder.get();
    }
}
