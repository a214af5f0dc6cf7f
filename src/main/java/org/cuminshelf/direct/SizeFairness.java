package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Prevents the large generations of a route from being refused far more often than its usual ones.
 *
 * <p>Applies to bursts of prompts with heavy-tailed sizes. When engine time is scarce, the largest prompts take ten
 * times the time of a usual one for at most four times its value, so that admission by value alone always refuses them.
 * On a day of bursts with failed engines, 0.23 of the largest tenth of a route's prompts were answered and 0.60 of all.
 *
 * <p>Each route and size group has a deficit counter, as in deficit round robin. An arriving call adds the route's rate
 * of answered calls, times {@link #GUARANTEED_SHARE}; a sent call subtracts one. While a group has credit, its next
 * call is sent although its engine time is worth more than its answer. The cost is bounded: a group gets no more than
 * its share of what its route gets, and its credit is at most {@link #MAX_CREDIT_CALLS} calls.
 */
final class SizeFairness {

    /**
     * Share of its route's rate of answered calls that is credited to each group: one half, and two fifths of that in
     * addition for calls assigned to the wrong group and for calls sent without success.
     */
    private static final double GUARANTEED_SHARE = 0.7;
    /**
     * Maximum credit of a group in calls, so that calls refused during a long outage are not compensated afterwards.
     */
    private static final double MAX_CREDIT_CALLS = 3;
    /**
     * Maximum debt of a group in calls: calls sent while engines were idle count against it in a burst of some 10 s.
     * With one call, each burst sent large prompts when they delay others most, and eight heavy days of six engines
     * were worth 0.02 less than without any share; with five or six calls they were worth the same.
     */
    private static final double MAX_DEBT_CALLS = 5;
    /** Weight of one call in the rate of answered calls of a route: a window of about thirty calls. */
    private static final double RATE_WEIGHT = 0.03;
    /** Recent sizes of a route from which the rank of the next call is determined. */
    private static final int WINDOW_CALLS = 128;
    /** Known sizes of a route below which no call counts as large: ten, a tenth of which is one call, and one more. */
    private static final int MIN_KNOWN_SIZES = 11;
    /** How much a call of the same size counts as a larger one. */
    private static final double TIE_WEIGHT = 0.5;
    /** Share of a route's calls that count as largest. */
    private static final double LARGEST_SHARE = 0.1;
    /** Share of a route's calls that count as large or largest. */
    private static final double LARGE_SHARE = 0.3;

    /** Rank of a call's size among the calls of its route. */
    private enum SizeGroup {
        USUAL,
        LARGE,
        LARGEST
    }

    /** State of one route: about 1 kB, mostly the recent sizes. */
    private static final class RouteSizes {
        private final double[] sizes = new double[WINDOW_CALLS];
        private int sizesSeen;
        private double answeredRate = 1;
        private final double[] credits = new double[SizeGroup.values().length];

        private SizeGroup groupOf(double size) {
            int known = Math.min(sizesSeen, WINDOW_CALLS);
            double larger = 0;
            for (int index = 0; index < known; index++) {
                // A call of the same size counts by half: if all calls are of one size, none is large.
                larger += sizes[index] > size ? 1 : sizes[index] == size ? TIE_WEIGHT : 0;
            }
            sizes[sizesSeen % WINDOW_CALLS] = size;
            sizesSeen++;
            if (known < MIN_KNOWN_SIZES || larger >= LARGE_SHARE * known) {
                return SizeGroup.USUAL;
            }
            return larger >= LARGEST_SHARE * known ? SizeGroup.LARGE : SizeGroup.LARGEST;
        }

        private void addCredit(SizeGroup group, double calls) {
            credits[group.ordinal()] = Math.clamp(credits[group.ordinal()] + calls, -MAX_DEBT_CALLS, MAX_CREDIT_CALLS);
        }
    }

    /** One call, counted against the credit of its size group. */
    static final class Claim {
        private final RouteSizes route;
        private final SizeGroup group;
        private boolean sent;
        private boolean ended;

        private Claim(RouteSizes route, SizeGroup group) {
            this.route = route;
            this.group = group;
        }

        /** Returns the size group of the call in lower case, for logs. */
        String sizeGroup() {
            return group.name().toLowerCase(Locale.ROOT);
        }

        /**
         * Returns whether its group was sent less than its share, so that this call must not be refused for its cost.
         */
        boolean hasCredit() {
            return group != SizeGroup.USUAL && route.credits[group.ordinal()] > 0;
        }

        /** Records that the call was sent to an engine; only the first time counts. */
        void onSent() {
            if (!sent) {
                sent = true;
                route.addCredit(group, -1);
            }
        }

        /** Records that the call ended. The credit of a call that was sent but not answered is returned. */
        void onEnded(boolean answered) {
            if (ended) {
                return;
            }
            ended = true;
            route.answeredRate += RATE_WEIGHT * ((answered ? 1 : 0) - route.answeredRate);
            if (sent && !answered) {
                route.addCredit(group, 1);
            }
        }
    }

    private final Map<String, RouteSizes> routes = new HashMap<>();

    /**
     * Registers a generation on its arrival.
     *
     * @param route the name of its route
     * @param size  its size, in the unit of its value
     * @return its claim, which must be notified when the call is sent and when it ends
     */
    Claim register(String route, double size) {
        RouteSizes sizes = routes.computeIfAbsent(route, key -> new RouteSizes());
        SizeGroup group = sizes.groupOf(size);
        sizes.addCredit(group, GUARANTEED_SHARE * sizes.answeredRate);
        return new Claim(sizes, group);
    }
}
