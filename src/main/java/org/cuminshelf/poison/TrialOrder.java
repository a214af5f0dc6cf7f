package org.cuminshelf.poison;

import java.util.Comparator;
import java.util.List;

/**
 * The suspected attributes in the order of their trials. All processes determine the same order from the same crashes.
 * Those of one service take turns. The one at most crashes is first: a trial of it that crashes an upstream leaves the
 * others alone with their trials, as it is then held back for longer than they are.
 */
final class TrialOrder {

    /** Most turns: with one for each suspect, sound attributes that were at many crashes would be held back longer. */
    private static final int MAX_TURNS = 3;

    private static final Comparator<Suspect> BY_EVIDENCE = Comparator.comparingInt(
                    (Suspect suspect) -> suspect.unexplainedCrashes().size())
            .thenComparingInt(CauseFinder::points)
            .reversed()
            .thenComparingLong(TrialOrder::requests)
            .thenComparingLong(suspect -> suspect.fingerprint().high())
            .thenComparingLong(suspect -> suspect.fingerprint().low());

    private final List<Suspect> suspects;

    private TrialOrder(List<Suspect> suspects) {
        this.suspects = suspects;
    }

    static TrialOrder of(List<Suspect> suspects) {
        return new TrialOrder(suspects.stream().sorted(BY_EVIDENCE).toList());
    }

    /** Returns the turn of a suspect; the last turn is that of all others too. */
    TrialTurn turnOf(Suspect suspect) {
        List<Suspect> sameService = suspects.stream()
                .filter(other -> other.attribute.service().equals(suspect.attribute.service()))
                .toList();
        int turns = Math.clamp(sameService.size(), 1, MAX_TURNS);
        int position = sameService.indexOf(suspect);
        int index = position < 0 ? turns - 1 : Math.min(position, turns - 1);
        return new TrialTurn(latestCrash(sameService), index, turns);
    }

    private static long latestCrash(List<Suspect> suspects) {
        return suspects.stream()
                .flatMap(suspect -> suspect.unexplainedCrashes().stream())
                .mapToLong(crash -> crash.firstReportedAt)
                .max()
                .orElse(0);
    }

    private static long requests(Suspect suspect) {
        return suspect.unexplainedCrashes().stream()
                .mapToLong(crash -> crash.runs.get(suspect.fingerprint()).requests())
                .sum();
    }
}
