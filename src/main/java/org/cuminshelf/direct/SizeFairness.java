package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Keeps the large generations of a route from being refused far more often than its usual ones.
 *
 * <p>Answers the load pattern of a burst of prompts whose sizes have a heavy tail: where engine time is scarce, the
 * largest prompts take ten times the time of a usual one for at most four times its worth, so that by worth alone they
 * are always the ones to be refused. On a day of bursts with engines lost, 0.23 of the largest tenth of a route's
 * prompts were answered and 0.60 of all.
 *
 * <p>A deficit counter, as in deficit round robin, for each route and size group: each arrival adds the share of the
 * route's calls that are answered, times {@link #SHARE}; each call that is sent takes one off. While a group is owed,
 * its next call goes though its engine's time is worth more than its answer. The cost is bounded: a group gets no more
 * than its share of what its route gets, and the counter holds no more than {@link #MOST_OWED} calls.
 */
final class SizeFairness {

    /**
     * Part of the rate at which its route is answered that each group gets at least: one half, and two fifths of that
     * for calls that are told to the wrong group and for what is sent in vain.
     */
    private static final double SHARE = 0.7;
    /** Calls that a group can be owed at the most, so that what a long outage refused is not made up for afterwards. */
    private static final double MOST_OWED = 3;
    /**
     * Calls by which a group can be ahead: what it got while engines idled counts in a burst of some 10 s. With one
     * call, each burst sent large prompts at the moment at which they delay others most: eight heavy days of six
     * engines were worth 0.02 less than without any share, with five or six calls the same.
     */
    private static final double MOST_AHEAD = 5;
    /** Weight of one call in the rate at which a route is answered: a memory of some thirty calls. */
    private static final double RATE_WEIGHT = 0.03;
    /** Sizes remembered of a route, from which the rank of the next is told. */
    private static final int WINDOW = 128;
    /** Sizes of a route to be seen before any counts as large: as many as there are in a tenth, and one more. */
    private static final int LEAST_KNOWN = 11;
    /** What a call of the same size counts among the larger ones. */
    private static final double TIE = 0.5;
    /** Part of a route's calls that counts as the largest. */
    private static final double LARGEST_SHARE = 0.1;
    /** Part of a route's calls that counts as large, the largest among them. */
    private static final double LARGE_SHARE = 0.3;

    /** Where the size of a call stands among those of its route. */
    private enum SizeGroup {
        USUAL,
        LARGE,
        LARGEST
    }

    /** What is remembered of one route; a few hundred bytes. */
    private static final class RouteSizes {
        private final double[] sizes = new double[WINDOW];
        private int seen;
        private double answeredRate = 1;
        private final double[] owed = new double[SizeGroup.values().length];

        private SizeGroup groupOf(double size) {
            int known = Math.min(seen, WINDOW);
            double larger = 0;
            for (int index = 0; index < known; index++) {
                // Calls of one size stand in the middle of each other: where all are alike none is large.
                larger += sizes[index] > size ? 1 : sizes[index] == size ? TIE : 0;
            }
            sizes[seen % WINDOW] = size;
            seen++;
            if (known < LEAST_KNOWN || larger >= LARGE_SHARE * known) {
                return SizeGroup.USUAL;
            }
            return larger >= LARGEST_SHARE * known ? SizeGroup.LARGE : SizeGroup.LARGEST;
        }

        private void add(SizeGroup group, double calls) {
            owed[group.ordinal()] = Math.clamp(owed[group.ordinal()] + calls, -MOST_AHEAD, MOST_OWED);
        }
    }

    /** The claim of one call to its group's share. */
    static final class Claim {
        private final RouteSizes route;
        private final SizeGroup group;
        private boolean sent;
        private boolean ended;

        private Claim(RouteSizes route, SizeGroup group) {
            this.route = route;
            this.group = group;
        }

        /** The group of its size among those of its route, in one word. */
        String sizeGroup() {
            return group.name().toLowerCase(Locale.ROOT);
        }

        /** Whether its group was sent less than its share, so that this call is not to be refused for its cost. */
        boolean hasCredit() {
            return group != SizeGroup.USUAL && route.owed[group.ordinal()] > 0;
        }

        /** The call was sent to an engine. */
        void onSent() {
            if (!sent) {
                sent = true;
                route.add(group, -1);
            }
        }

        /** The call ended. What was sent in vain is owed again. */
        void onEnded(boolean answered) {
            if (ended) {
                return;
            }
            ended = true;
            route.answeredRate += RATE_WEIGHT * ((answered ? 1 : 0) - route.answeredRate);
            if (sent && !answered) {
                route.add(group, 1);
            }
        }
    }

    private final Map<String, RouteSizes> routes = new HashMap<>();

    /**
     * Notes a generation that was asked for.
     *
     * @param route names its route
     * @param size  its size, in the unit in which the answer's worth is told
     * @return its claim, which is to be told what becomes of it
     */
    Claim register(String route, double size) {
        RouteSizes sizes = routes.computeIfAbsent(route, key -> new RouteSizes());
        SizeGroup group = sizes.groupOf(size);
        sizes.add(group, SHARE * sizes.answeredRate);
        return new Claim(sizes, group);
    }
}
