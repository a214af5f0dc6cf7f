package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.message.UpstreamLoad;

/**
 * Answers, errors and service times of upstreams that this entry has received since its last load report. Each of them
 * is in one report, also if that is lost: the other entries see the errors of an upstream themselves, later.
 */
final class UnreportedOutcomes {

    private static final double MICROS_PER_MILLI = 1_000;

    /** Numbers for one upstream. */
    private static final class Tally {
        private int answers;
        private int errors;
        private int served;
        private double serviceMicros;
    }

    /** By instance id. */
    private final Map<String, Tally> tallies = new HashMap<>();

    private boolean hasError;

    void add(String instanceId, boolean error) {
        Tally tally = tallies.computeIfAbsent(instanceId, key -> new Tally());
        tally.answers++;
        tally.errors += error ? 1 : 0;
        hasError |= error;
    }

    /** Adds the service time of a plain answer, in milliseconds. */
    void addServiceTime(String instanceId, double millis) {
        Tally tally = tallies.computeIfAbsent(instanceId, key -> new Tally());
        tally.served++;
        tally.serviceMicros += millis * MICROS_PER_MILLI;
    }

    boolean isEmpty() {
        return tallies.isEmpty();
    }

    /** Whether an error is among them, which the other entries should know soon. */
    boolean hasError() {
        return hasError;
    }

    boolean contains(String instanceId) {
        return tallies.containsKey(instanceId);
    }

    /** Adds the numbers of an upstream to its part of a report. */
    void addTo(UpstreamLoad.Builder load) {
        Tally tally = tallies.get(load.getId());
        if (tally != null) {
            load.setAnswers(tally.answers)
                    .setErrors(tally.errors)
                    .setServed(tally.served)
                    .setServiceUs((int) tally.serviceMicros);
        }
    }

    /** Begins the next report. */
    void clear() {
        tallies.clear();
        hasError = false;
    }
}
