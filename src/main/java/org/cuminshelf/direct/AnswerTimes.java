package org.cuminshelf.direct;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** How long requests of each route take from their arrival to the end of their answer, learnt from whole answers. */
final class AnswerTimes {

    /** Routes that are remembered; the one unused for longest is forgotten first. */
    private static final int MAX_ROUTES = 1_000;
    /** Answers of a route before which nothing is known of it. */
    private static final int MIN_ANSWERS = 10;
    /** Weight of one answer once there are many: a window of some fifty. */
    private static final double WEIGHT = 0.02;
    /** Mean deviations above the mean of the logarithms below which nearly all answers lie, and most of them. */
    private static final double NEARLY_ALL_DEVIATIONS = 3;

    private static final double MOST_DEVIATIONS = 1;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, RouteTimes> routes = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RouteTimes> eldest) {
            return size() > MAX_ROUTES;
        }
    };

    /** Adds the duration of a whole answer, in nanoseconds. */
    void observe(String route, long nanos) {
        routes.computeIfAbsent(route, name -> new RouteTimes()).observe(Math.log(Math.max(1, nanos)));
    }

    /** Returns the time in which nearly all answers of a route are whole, in nanoseconds; empty if it is not known. */
    OptionalLong nearlyAll(String route) {
        return within(route, NEARLY_ALL_DEVIATIONS);
    }

    /** Returns the time in which most answers of a route are whole, in nanoseconds; empty if it is not known. */
    OptionalLong most(String route) {
        return within(route, MOST_DEVIATIONS);
    }

    private OptionalLong within(String route, double deviations) {
        RouteTimes times = routes.get(route);
        return times == null || times.answers < MIN_ANSWERS
                ? OptionalLong.empty()
                : OptionalLong.of((long) Math.exp(times.mean + deviations * times.deviation));
    }

    /** Running mean and mean deviation of the logarithms, as the lengths of streams spread over orders of magnitude. */
    private static final class RouteTimes {

        private int answers;
        private double mean;
        private double deviation;

        private void observe(double log) {
            answers++;
            double weight = Math.max(WEIGHT, 1.0 / answers);
            double difference = log - mean;
            mean += weight * difference;
            if (answers > 1) {
                deviation += weight * (Math.abs(difference) - deviation);
            }
        }
    }
}
