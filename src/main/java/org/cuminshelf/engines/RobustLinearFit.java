package org.cuminshelf.engines;

import org.hipparchus.exception.MathRuntimeException;
import org.hipparchus.linear.Array2DRowRealMatrix;
import org.hipparchus.linear.ArrayRealVector;
import org.hipparchus.linear.LUDecomposition;
import org.hipparchus.linear.RealMatrix;
import org.hipparchus.linear.RealVector;
import org.tinylog.Logger;

/**
 * A linear function of a few features, fitted to the latest observations by least absolute deviations.
 *
 * <p>Least absolute deviations, since what is observed has outliers on both sides: a part of the prompt that was
 * thought cached and wasn't, an engine that paused, a process of ours that paused. As long as less than half of the
 * observations are such, they hardly move the fit. The window is bounded, so that an old state is forgotten.
 */
final class RobustLinearFit {

    /** Observations that the fit is made of: some seconds of one service's prompts, a few kilobytes. */
    private static final int WINDOW_SIZE = 192;
    /** Observations after which the fit is made anew while there are few. */
    private static final int REFIT_INTERVAL = 6;
    /**
     * The same once the window is full: an eighth of it is new by then. All entries' prompts are observed, so that with
     * 6 a seventh of the processor time of an entry's decisions went into fits at 33 entries.
     */
    private static final int REFIT_INTERVAL_FULL = WINDOW_SIZE / 8;
    /** Rounds of reweighting; the coefficients change by under a hundredth after that. */
    private static final int REWEIGHTING_ROUNDS = 8;
    /** Least deviation that weights tell apart, in the unit of the value: the clocks' own resolution. */
    private static final double MIN_DEVIATION = 1.0;
    /** Weight of the prior, in observations: it decides while there are fewer. */
    private static final double PRIOR_WEIGHT = 2;

    private final double[] prior;
    private final double[] featureScale;
    private final double[][] features = new double[WINDOW_SIZE][];
    private final double[] values = new double[WINDOW_SIZE];
    private double[] coefficients;
    private int count;

    /**
     * Makes a fit that has seen nothing.
     *
     * @param prior coefficients believed before the first observation
     * @param featureScale usual size of each feature, so that the prior binds all coefficients alike
     */
    RobustLinearFit(double[] prior, double[] featureScale) {
        this.prior = prior.clone();
        this.featureScale = featureScale.clone();
        this.coefficients = prior.clone();
    }

    /** Takes an observation. */
    void observe(double[] feature, double value) {
        features[count % WINDOW_SIZE] = feature;
        values[count % WINDOW_SIZE] = value;
        count++;
        if (count % (count < WINDOW_SIZE ? REFIT_INTERVAL : REFIT_INTERVAL_FULL) == 0) {
            refit();
        }
    }

    /** The value expected for some features. */
    double predict(double... feature) {
        double sum = 0;
        for (int index = 0; index < feature.length; index++) {
            sum += coefficients[index] * feature[index];
        }
        return sum;
    }

    double coefficient(int index) {
        return coefficients[index];
    }

    /** Observations seen so far. */
    int count() {
        return count;
    }

    private void refit() {
        double[] solution = coefficients.clone();
        for (int round = 0; round < REWEIGHTING_ROUNDS; round++) {
            double[] next = solve(solution);
            if (next.length == 0) {
                return;
            }
            solution = next;
        }
        coefficients = solution;
    }

    /** One round of weighted least squares; empty where the observations don't determine the coefficients. */
    private double[] solve(double[] previous) {
        int size = prior.length;
        double[][] normal = new double[size][size];
        double[] right = new double[size];
        for (int index = 0; index < size; index++) {
            double weight = PRIOR_WEIGHT * featureScale[index] * featureScale[index] / priorDeviation();
            normal[index][index] += weight;
            right[index] += weight * prior[index];
        }
        for (int row = 0; row < Math.min(count, WINDOW_SIZE); row++) {
            double weight = 1 / Math.max(MIN_DEVIATION, Math.abs(values[row] - dot(previous, features[row])));
            for (int index = 0; index < size; index++) {
                right[index] += weight * features[row][index] * values[row];
                for (int other = 0; other < size; other++) {
                    normal[index][other] += weight * features[row][index] * features[row][other];
                }
            }
        }
        try {
            RealMatrix matrix = new Array2DRowRealMatrix(normal, false);
            RealVector solved = new LUDecomposition(matrix).getSolver().solve(new ArrayRealVector(right, false));
            return clampToNonNegative(solved.toArray());
        } catch (MathRuntimeException e) {
            Logger.info("engines: event=fit outcome=undetermined reason=\"{}\"", e.getMessage());
            return new double[0];
        }
    }

    /** Deviation at which the prior counts as much as an observation: a tenth of what it expects of usual features. */
    private double priorDeviation() {
        return Math.max(MIN_DEVIATION, dot(prior, featureScale) / 10);
    }

    /** Time grows with work: a negative coefficient is an artefact of features that move together. */
    private static double[] clampToNonNegative(double[] solution) {
        for (int index = 0; index < solution.length; index++) {
            solution[index] = Math.max(0, solution[index]);
        }
        return solution;
    }

    private static double dot(double[] left, double[] right) {
        double sum = 0;
        for (int index = 0; index < left.length; index++) {
            sum += left[index] * right[index];
        }
        return sum;
    }
}
