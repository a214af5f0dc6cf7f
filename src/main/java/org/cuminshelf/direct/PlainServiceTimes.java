package org.cuminshelf.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.DecayingMean;
import org.cuminshelf.message.UpstreamLoad;

/**
 * Service times of the upstreams of plain calls, learnt from this entry's answers and from the sums that other entries
 * report.
 *
 * <p>Guards against late answers of an upstream that is slower than its peers for a short time: by the number of its
 * requests alone it gets as many calls as they do.
 *
 * <p>An answer is compared with the mean of the same kind of work: of its route for this entry's own answers, of the
 * service for reported ones, which name no route. The wait for a slot of the upstream is estimated and left out.
 */
final class PlainServiceTimes {

    /** Logarithm of the difference between the slowest and the fastest upstream that has no effect. */
    private static final double DEAD_BAND_LOG = Math.log(1.15);
    /** Logarithm of the factor from which an upstream counts as slow in the figures for operators. */
    private static final double SLOW_LOG = Math.log(1.5);
    /** Time constant of the mean of a kind of work. */
    private static final double MEAN_SMOOTHING_NANOS = Durations.nanos(10_000);
    /** Weight of an answer itself in the mean that it is compared with, in answers. */
    private static final double PRIOR_ANSWERS = 1;
    /** Time after which the mean of a kind of work without answers is dropped. */
    private static final long MAX_UNUSED_NANOS = Durations.nanos(60_000);
    /** Shortest service time that is told apart from none. */
    private static final double MIN_SERVICE_MILLIS = 0.1;

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String REPORTED = "reported";

    /**
     * A kind of work.
     *
     * @param service the service
     * @param kind    the route, or {@link #REPORTED}
     */
    private record Work(String service, String kind) {}

    /** The mean logarithm of the service time of a kind of work at all upstreams, in milliseconds. */
    private static final class WorkMean {
        private final DecayingMean mean = new DecayingMean(MEAN_SMOOTHING_NANOS, PRIOR_ANSWERS);
        private long usedAt;

        /** Adds answers, and returns their logarithm over the mean before them. */
        private double addAndCompare(long now, double log, int count) {
            double ratio = log - mean.mean(now, log);
            mean.add(now, log, count);
            usedAt = now;
            return ratio;
        }
    }

    private final UpstreamTable upstreams;
    private final UnreportedOutcomes unreported;
    private final Map<Work, WorkMean> means = new HashMap<>();
    /** By instance id. */
    private final Map<String, PlainServiceTime> times = new HashMap<>();

    PlainServiceTimes(UpstreamTable upstreams, UnreportedOutcomes unreported) {
        this.upstreams = upstreams;
        this.unreported = unreported;
    }

    // ---- observations

    /** Records that an attempt was answered; does nothing unless its call is plain. */
    void onAnswer(long now, DirectAttempt attempt) {
        if (!attempt.call.isPlain()) {
            return;
        }
        UpstreamInstance upstream = attempt.upstream;
        double rounds = Math.max(1, (attempt.streamsAtSend + 1.0) / upstream.slots);
        double millis = (now - attempt.sentAtNanos) / NANOS_PER_MILLI / rounds;
        unreported.addServiceTime(upstream.id, millis);
        observe(now, upstream, "route " + attempt.call.route.name(), millis, 1);
    }

    /** Applies the sums that another entry reported. */
    void onReport(long now, UpstreamLoad load) {
        int served = load.getServed();
        if (served > 0 && load.getServiceUs() >= 0) {
            double millis = load.getServiceUs() / MICROS_PER_MILLI / served;
            upstreams.instance(load.getId()).ifPresent(upstream -> observe(now, upstream, REPORTED, millis, served));
        }
    }

    private void observe(long now, UpstreamInstance upstream, String kind, double millis, int count) {
        double log = Math.log(Math.max(MIN_SERVICE_MILLIS, millis));
        double ratio = means.computeIfAbsent(new Work(upstream.service, kind), key -> new WorkMean())
                .addAndCompare(now, log, count);
        times.computeIfAbsent(upstream.id, key -> new PlainServiceTime()).observe(now, ratio, count);
    }

    /** Drops the state of upstreams that are not known any more, and of work that is not done any more. */
    void tick(long now) {
        Set<String> known = new HashSet<>();
        upstreams.instances().forEach(upstream -> known.add(upstream.id));
        times.keySet().retainAll(known);
        means.values().removeIf(mean -> now - mean.usedAt > MAX_UNUSED_NANOS);
    }

    // ---- choices

    /**
     * The service times of the upstreams that a call may be sent to.
     *
     * @param logFactors  logarithm of the factor of each upstream with answers, by instance id
     * @param meanLog     mean of the logarithms of all upstreams
     * @param speedWeight 0 if the factors differ by no more than the dead band, 1 if they differ clearly
     */
    record Comparison(Map<String, Double> logFactors, double meanLog, double speedWeight) {

        /**
         * Returns the load of an upstream: its requests per slot, counted over all entries, where upstreams are alike.
         * Where they differ, the requests include the one to be sent and are weighted with the relative service time,
         * so that idle upstreams are told apart too.
         */
        double load(UpstreamInstance upstream) {
            double requestsPerSlot = (double) upstream.totalAttempts() / upstream.slots;
            if (speedWeight == 0) {
                return requestsPerSlot;
            }
            double factor = Math.exp(logFactors.getOrDefault(upstream.id, 0.0) - meanLog);
            double weighted = factor * (upstream.totalAttempts() + 1) / upstream.slots;
            return (1 - speedWeight) * requestsPerSlot + speedWeight * weighted;
        }
    }

    /** Compares the service times of some upstreams of one service at a time in nanoseconds. */
    Comparison compare(long now, Collection<UpstreamInstance> candidates) {
        Map<String, Double> logFactors = new HashMap<>();
        double sum = 0;
        double lowest = Double.MAX_VALUE;
        double highest = -Double.MAX_VALUE;
        for (UpstreamInstance upstream : candidates) {
            double log = logFactor(now, upstream.id);
            logFactors.put(upstream.id, log);
            sum += log;
            lowest = Math.min(lowest, log);
            highest = Math.max(highest, log);
        }
        double speedWeight = candidates.isEmpty() ? 0 : Math.clamp((highest - lowest) / DEAD_BAND_LOG - 1, 0, 1);
        return new Comparison(logFactors, sum / Math.max(1, candidates.size()), speedWeight);
    }

    /** Returns the number of upstreams whose service time exceeds that of their peers by half now. */
    long slowUpstreams(long now) {
        return times.values().stream()
                .filter(time -> time.logFactor(now) > SLOW_LOG)
                .count();
    }

    private double logFactor(long now, String instanceId) {
        PlainServiceTime time = times.get(instanceId);
        return time == null ? 0 : time.logFactor(now);
    }
}
