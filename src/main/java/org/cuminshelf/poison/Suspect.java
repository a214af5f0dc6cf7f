package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A request or shared attribute that was at crashes. */
final class Suspect {

    final RequestAttribute attribute;
    /** All crashes that it was at, in the order in which they were reported here. */
    private final Set<CrashRecord> crashes = new LinkedHashSet<>();
    /** Those of which it was not cleared. */
    private final Set<CrashRecord> unclearedCrashes = new LinkedHashSet<>();

    /**
     * Answers of the service that ended well here since it was at several crashes. None of them had the attribute, as
     * it would have been cleared.
     */
    private long answersBesideIt;
    /** The same up to the latest crash; what ends well after that says nothing about the crash. */
    private long answersBeforeLatestCrash;

    Suspect(RequestAttribute attribute) {
        this.attribute = attribute;
    }

    Fingerprint fingerprint() {
        return attribute.fingerprint();
    }

    boolean isShared() {
        return attribute.isShared();
    }

    void add(CrashRecord crash, boolean cleared) {
        crashes.add(crash);
        if (cleared) {
            unclearedCrashes.remove(crash);
            answersBesideIt = 0;
            answersBeforeLatestCrash = 0;
        } else if (unclearedCrashes.add(crash)) {
            answersBeforeLatestCrash = answersBesideIt;
        }
    }

    void countAnswerBesideIt() {
        answersBesideIt++;
    }

    long answersBesideIt() {
        return answersBesideIt;
    }

    long answersBeforeLatestCrash() {
        return answersBeforeLatestCrash;
    }

    void remove(CrashRecord crash) {
        crashes.remove(crash);
        unclearedCrashes.remove(crash);
    }

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    boolean isCleared() {
        return unclearedCrashes.isEmpty();
    }

    Set<CrashRecord> crashes() {
        return crashes;
    }

    Set<CrashRecord> unclearedCrashes() {
        return unclearedCrashes;
    }

    /** Returns the crashes that it may have caused: not cleared, and not explained by a known poison request. */
    List<CrashRecord> unexplainedCrashes() {
        List<CrashRecord> unexplained = new ArrayList<>();
        for (CrashRecord crash : unclearedCrashes) {
            if (!crash.explained) {
                unexplained.add(crash);
            }
        }
        return unexplained;
    }
}
