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
 * <p>The observations have outliers on both sides: a part of the prompt that was expected to be cached and was not, a
 * pause of the engine, a pause of this process. As long as less than half of the observations are outliers, they hardly
 * affect a fit by least absolute deviations. The window is bounded, so that an outdated state drops out.
 */
final class RobustLinearFit {

    /** Observations in the fit: some seconds of one service's prompts, a few kilobytes. */
    private static final int WINDOW_SIZE = 192;
    /** Observations between two fits while the window is not full. */
    private static final int REFIT_INTERVAL = 6;
    /**
     * The same once the window is full: an eighth of it is new by then. Every entry processes the prompts of all
     * entries, so that with 6 a seventh of the processor time of an entry's decisions was spent on fits at 33 entries.
     */
    private static final int REFIT_INTERVAL_FULL = WINDOW_SIZE / 8;
    /** Rounds of reweighting; further rounds change the coefficients by less than a hundredth. */
    private static final int REWEIGHTING_ROUNDS = 8;
    /** Least deviation that weights distinguish, in the unit of the value: the resolution of the clocks. */
    private static final double MIN_DEVIATION = 1.0;
    /** Weight of the prior, in observations: it dominates while there are fewer. */
    private static final double PRIOR_WEIGHT = 2;

    private final double[] prior;
    private final double[] featureScale;
    private final double[][] features = new double[WINDOW_SIZE][];
    private final double[] values = new double[WINDOW_SIZE];
    private double[] coefficients;
    private int count;

    /**
     * Creates a fit without observations.
     *
     * @param prior        coefficients before the first observation
     * @param featureScale typical size of each feature, so that the prior constrains all coefficients equally
     */
    RobustLinearFit(double[] prior, double[] featureScale) {
        this.prior = prior.clone();
        this.featureScale = featureScale.clone();
        this.coefficients = prior.clone();
    }

    /** Adds an observation. */
    void observe(double[] feature, double value) {
        features[count % WINDOW_SIZE] = feature;
        values[count % WINDOW_SIZE] = value;
        count++;
        if (count % (count < WINDOW_SIZE ? REFIT_INTERVAL : REFIT_INTERVAL_FULL) == 0) {
            refit();
        }
    }

    /** Returns the value predicted for some features. */
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

    /** Returns the number of observations so far. */
    int count() {
        return count;
    }

    /** Whether it has as many observations as it retains. */
    boolean isWindowFull() {
        return count >= WINDOW_SIZE;
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

    /** Solves one round of weighted least squares; empty if the observations don't determine the coefficients. */
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

    /**
     * Returns the deviation at which the prior weighs as much as an observation: a tenth of its prediction for typical
     * features.
     */
    private double priorDeviation() {
        return Math.max(MIN_DEVIATION, dot(prior, featureScale) / 10);
    }

    /** Time grows with work: a negative coefficient is an artefact of correlated features. */
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
