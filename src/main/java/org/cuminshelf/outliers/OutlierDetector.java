package org.cuminshelf.outliers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.core.Durations;

/**
 * Estimates, for each upstream of one service, the probability that a request sent there fails although it would
 * succeed at the upstream's peers.
 *
 * <p>Addresses upstreams that answer most requests with an error at once while their health checks pass: as they are
 * always idle, a choice by load sends them more and more requests. Errors count only as far as they exceed those of the
 * peers for the same kind of work, so that a service whose requests fail now and then by themselves has no outlier.
 *
 * <p>Times are nanoseconds of the monotonic clock. Observations may arrive late; they count from their arrival and fade
 * within some 4 s. Not thread-safe.
 */
public final class OutlierDetector {

    /** Kinds of work that are told apart, which bounds the table; all further ones share one. */
    private static final int MAX_KINDS = 32;

    private static final String OTHER_KINDS = "(others)";
    /** Answers of peers that weigh as much as what is known of other kinds of work. */
    private static final double PRIOR_ANSWERS = 10;
    /** Error rate of peers without observations: isolated errors are normal. */
    private static final double MIN_PEER_RATE = 0.02;

    private static final double MAX_PEER_RATE = 0.95;
    /** Excess that counts as none, so that choices do not follow chance where nothing fails. */
    private static final double MIN_EXCESS = 0.05;

    /**
     * An observation that the belief does not contain yet.
     *
     * @param kind    kind of work
     * @param answers answers, errors included
     * @param errors  errors among them
     */
    private record Observation(String kind, int answers, int errors) {

        private Observation plus(int moreAnswers, int moreErrors) {
            return new Observation(kind, answers + moreAnswers, errors + moreErrors);
        }
    }

    /** What is known of one upstream. */
    private static final class Subject {
        private final FaultBelief belief;
        private final ErrorCount own;
        private final ErrorCount reported;
        private final List<Observation> pending = new ArrayList<>();
        private long observedAt;

        private Subject(long now) {
            belief = new FaultBelief(now);
            own = new ErrorCount(now);
            reported = new ErrorCount(now);
            observedAt = now;
        }

        /** Adds an observation to a pending one of its kind, so that their number is that of the kinds at most. */
        private void addPending(String kind, int answers, int errors) {
            for (int index = 0; index < pending.size(); index++) {
                if (pending.get(index).kind.equals(kind)) {
                    pending.set(index, pending.get(index).plus(answers, errors));
                    return;
                }
            }
            pending.add(new Observation(kind, answers, errors));
        }
    }

    private final Map<String, Subject> subjects = new HashMap<>();
    private final Map<String, KindErrorRates> rates = new HashMap<>();

    private OutlierDetector() {}

    /**
     * Creates a detector without observations.
     *
     * @return the detector
     */
    public static OutlierDetector create() {
        return new OutlierDetector();
    }

    /**
     * Records answers that this entry received.
     *
     * @param upstream id of the upstream instance
     * @param kind     kind of work, such as the route
     * @param now      the time in nanoseconds
     * @param answers  number of answers, errors included
     * @param errors   number of errors among them
     */
    public void observe(String upstream, String kind, long now, int answers, int errors) {
        Subject subject = subject(upstream, now);
        subject.own.add(now, answers, errors);
        observe(subject, upstream, kind, now, answers, errors);
    }

    /**
     * Records answers that another entry reported.
     *
     * @param upstream id of the upstream instance
     * @param kind     kind of work, as far as reports tell; other than those of {@link #observe}
     * @param now      the time in nanoseconds
     * @param answers  number of answers, errors included; a report that states less than its errors is corrected
     * @param errors   number of errors among them
     */
    public void observeRemote(String upstream, String kind, long now, int answers, int errors) {
        Subject subject = subject(upstream, now);
        int wholeAnswers = Math.max(answers, errors);
        subject.reported.add(now, wholeAnswers, errors);
        observe(subject, upstream, kind, now, wholeAnswers, errors);
    }

    private Subject subject(String upstream, long now) {
        return subjects.computeIfAbsent(upstream, key -> new Subject(now));
    }

    private void observe(Subject subject, String upstream, String kind, long now, int answers, int errors) {
        String boundedKind = rates.containsKey(kind) || rates.size() < MAX_KINDS ? kind : OTHER_KINDS;
        rates.computeIfAbsent(boundedKind, key -> new KindErrorRates()).add(upstream, now, answers, errors);
        subject.addPending(boundedKind, answers, errors);
        subject.observedAt = now;
        if (errors > 0) {
            // Answers without an error wait until the estimate is read, as they are most of all observations.
            update(subject, upstream, now);
        }
    }

    private void update(Subject subject, String upstream, long now) {
        subject.belief.forget(now);
        if (subject.pending.isEmpty()) {
            return;
        }
        for (Observation observation : subject.pending) {
            double peerRate = peerRate(upstream, observation.kind, now);
            subject.belief.observe(observation.answers, observation.errors, peerRate);
        }
        subject.belief.apply();
        subject.pending.clear();
    }

    /** Returns the error rate of an upstream's peers for a kind of work; that of all kinds counts until it is known. */
    private double peerRate(String upstream, String kind, long now) {
        KindErrorRates ofKind = rates.computeIfAbsent(kind, key -> new KindErrorRates());
        ofKind.refresh(now);
        double prior = PRIOR_ANSWERS * peerRate(upstream, now);
        double rate = (ofKind.errorsOfOthers(upstream) + prior) / (ofKind.answersOfOthers(upstream) + PRIOR_ANSWERS);
        return Math.clamp(rate, MIN_PEER_RATE, MAX_PEER_RATE);
    }

    /** Returns the error rate of an upstream's peers for all kinds of work. */
    private double peerRate(String upstream, long now) {
        double answers = 0;
        double errors = 0;
        for (KindErrorRates ofKind : rates.values()) {
            ofKind.refresh(now);
            answers += ofKind.answersOfOthers(upstream);
            errors += ofKind.errorsOfOthers(upstream);
        }
        double rate = (errors + PRIOR_ANSWERS * MIN_PEER_RATE) / (answers + PRIOR_ANSWERS);
        return Math.clamp(rate, MIN_PEER_RATE, MAX_PEER_RATE);
    }

    /**
     * Returns by how much the error probability of an upstream exceeds that of its peers.
     *
     * @param upstream id of the upstream instance
     * @param now      the time in nanoseconds
     * @return the difference, from 0 to 1; 0 if it is too small to be told from chance
     */
    public double excessErrorProbability(String upstream, long now) {
        Subject subject = subjects.get(upstream);
        if (subject == null) {
            return 0;
        }
        update(subject, upstream, now);
        double additionalRate = subject.belief.additionalRate();
        if (additionalRate < MIN_EXCESS) {
            return 0;
        }
        double excess = (1 - peerRate(upstream, now)) * additionalRate;
        return excess < MIN_EXCESS ? 0 : excess;
    }

    /**
     * Returns the probability that a request sent to an upstream is answered with an error.
     *
     * @param upstream id of the upstream instance
     * @param now      the time in nanoseconds
     * @return the probability, from 0 to 1
     */
    public double errorProbability(String upstream, long now) {
        return peerRate(upstream, now) + excessErrorProbability(upstream, now);
    }

    /**
     * Returns what the estimate of an upstream rests on.
     *
     * @param upstream id of the upstream instance
     * @param now      the time in nanoseconds
     * @return the evidence; empty if there is none
     */
    public Optional<OutlierEvidence> evidenceOf(String upstream, long now) {
        return Optional.ofNullable(subjects.get(upstream)).map(subject -> evidence(subject, now));
    }

    private static OutlierEvidence evidence(Subject subject, long now) {
        subject.own.decay(now);
        subject.reported.decay(now);
        return new OutlierEvidence(
                subject.own.answers(),
                subject.own.errors(),
                subject.reported.answers(),
                subject.reported.errors(),
                Durations.millis(now - subject.observedAt));
    }

    /**
     * Drops all upstreams but the given ones.
     *
     * @param upstreams ids of the instances that are kept
     * @param now       the time in nanoseconds
     */
    public void retain(Set<String> upstreams, long now) {
        subjects.keySet().retainAll(upstreams);
        rates.values().forEach(ofKind -> ofKind.retain(upstreams, now));
        rates.values().removeIf(KindErrorRates::isEmpty);
    }
}
