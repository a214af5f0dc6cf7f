package org.cuminshelf.outliers;

import java.util.Arrays;
import org.cuminshelf.core.Durations;

/**
 * Probability distribution of the additional error rate of one upstream: the share of its requests that fail there
 * although they would succeed at its peers.
 *
 * <p>A discrete Bayesian filter. Observations multiply the probabilities of the hypotheses, and time returns them to
 * the prior, as a fault may begin or end at any moment. Unlike with counts, a few answers in a row outweigh the errors
 * before them, so that a recovered upstream is known as such after two of them.
 */
final class FaultBelief {

    /**
     * The hypotheses. Smaller rates than the least of them cannot be told from chance within seconds.
     */
    private static final double[] ADDITIONAL_RATES = {0, 0.35, 0.6, 0.85, 0.97};
    /**
     * Prior probability of each fault: so small that a single error of an upstream without history stays without
     * effect and two in a row have one, and that chance hardly ever makes an outlier of one of many upstreams whose
     * requests all fail now and then.
     */
    private static final double PRIOR_OF_FAULT = 0.0002;

    /** Time constant of forgetting: an outlier is still one after a lucky answer to a trial. */
    private static final double FORGETTING_NANOS = Durations.nanos(4_000);

    private final double[] probabilities = new double[ADDITIONAL_RATES.length];
    private final double[] logLikelihoods = new double[ADDITIONAL_RATES.length];
    private long updatedAt;

    FaultBelief(long now) {
        updatedAt = now;
        for (int index = 0; index < probabilities.length; index++) {
            probabilities[index] = prior(index);
        }
    }

    private static double prior(int index) {
        return index == 0 ? 1 - (ADDITIONAL_RATES.length - 1) * PRIOR_OF_FAULT : PRIOR_OF_FAULT;
    }

    /** Moves the probabilities towards the prior, as time has passed. */
    void forget(long now) {
        double kept = Math.exp((updatedAt - now) / FORGETTING_NANOS);
        for (int index = 0; index < probabilities.length; index++) {
            probabilities[index] = prior(index) + kept * (probabilities[index] - prior(index));
        }
        updatedAt = now;
    }

    /**
     * Prepares an observation, which {@link #apply()} makes effective.
     *
     * @param answers  answers, errors included
     * @param errors   errors among them
     * @param peerRate error rate of the peers for the same kind of work, above 0 and below 1
     */
    void observe(int answers, int errors, double peerRate) {
        for (int index = 0; index < probabilities.length; index++) {
            double rate = peerRate + (1 - peerRate) * ADDITIONAL_RATES[index];
            logLikelihoods[index] += errors * Math.log(rate) + (answers - errors) * Math.log(1 - rate);
        }
    }

    /** Applies the prepared observations. */
    void apply() {
        double highest = Arrays.stream(logLikelihoods).max().orElse(0);
        double sum = 0;
        for (int index = 0; index < probabilities.length; index++) {
            probabilities[index] *= Math.exp(logLikelihoods[index] - highest);
            sum += probabilities[index];
        }
        for (int index = 0; index < probabilities.length; index++) {
            probabilities[index] = sum > 0 ? probabilities[index] / sum : prior(index);
        }
        Arrays.fill(logLikelihoods, 0);
    }

    /** Returns the expected additional error rate. */
    double additionalRate() {
        double mean = 0;
        for (int index = 0; index < probabilities.length; index++) {
            mean += probabilities[index] * ADDITIONAL_RATES[index];
        }
        return mean;
    }
}
