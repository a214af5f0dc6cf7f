package org.cuminshelf.engines;

import java.util.HashMap;
import java.util.Map;

/**
 * What is learnt of the engines of one service.
 *
 * <p>What all of them have in common is fitted to all observations; an engine that is slower than the others has a
 * factor of its own, see {@link EngineSpeed}.
 */
public final class EngineModel {

    /** Milliseconds of a handover before any was seen, and for each thousand tokens. */
    private static final double[] PRIOR_HANDOVER = {15, 1};

    private static final double[] USUAL_HANDOVER = {1, 8};
    /** Milliseconds between events before any was seen, and for each stream beside it. */
    private static final double[] PRIOR_GAP = {60, 1};

    private static final double[] USUAL_GAP = {1, 12};
    private static final double TOKENS = 1e-3;
    /** Part by which one observation moves the running median of the error. */
    private static final double ERROR_STEP = 0.06;
    /** Prompts seen before engines are told apart: until then what is off is the fit of all of them. */
    private static final int LEARNT = 24;
    /** Part of the expectation by which it is off before any was seen to be. */
    private static final double FIRST_ERROR = 0.3;
    /** Engines remembered beyond those of the largest deployment. */
    private static final int MOST_ENGINES = 2_048;

    private final PromptTimes alone = PromptTimes.of(false);
    private final PromptTimes besideStreams = PromptTimes.of(true);
    private final RobustFit handover = new RobustFit(PRIOR_HANDOVER, USUAL_HANDOVER);
    private final RobustFit gap = new RobustFit(PRIOR_GAP, USUAL_GAP);
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final ReadingAllowance reading = ReadingAllowance.fresh();
    private double error = FIRST_ERROR;
    private long observed;

    private EngineModel() {}

    /**
     * Makes a model that has seen nothing.
     *
     * @return the model
     */
    public static EngineModel fresh() {
        return new EngineModel();
    }

    /**
     * Learns from a prompt that was taken in.
     *
     * @param sample what was seen
     */
    public void observe(PromptSample sample) {
        PromptTimes times = times(sample.besideStreams());
        double expected = sample.waitMillis()
                + firstMillis(
                        sample.engine(), sample.besideStreams(), sample.streams(), sample.held(), sample.uncached());
        double off = Math.abs(sample.tookMillis() - expected) / Math.max(1, expected);
        error += ERROR_STEP * Math.signum(off - error) * Math.max(error, ERROR_STEP);
        observed++;
        if (observed > LEARNT) {
            if (speeds.size() > MOST_ENGINES) {
                speeds.clear();
            }
            double ownShare = 1 - sample.waitMillis() / Math.max(1, expected);
            speeds.computeIfAbsent(sample.engine(), key -> new EngineSpeed())
                    .observe(observed, Math.max(1, sample.tookMillis()) / Math.max(1, expected), Math.max(0, ownShare));
        }
        times.observe(sample);
    }

    /**
     * Learns from a KV cache that another engine took over.
     *
     * @param tokens tokens moved
     * @param millis milliseconds to the first event
     */
    public void observeHandover(int tokens, double millis) {
        handover.observe(new double[] {1, TOKENS * tokens}, millis);
    }

    /**
     * Learns from a stream that ended.
     *
     * @param streams streams on the engine
     * @param millis  mean milliseconds between two of its events
     */
    public void observeGap(int streams, double millis) {
        gap.observe(new double[] {1, streams}, millis);
    }

    /**
     * Tells how long an engine is taken up by a prompt.
     *
     * @param engine        names it
     * @param besideStreams whether it also generates
     * @param streams       streams that run there
     * @param held          tokens of the prompt that it holds
     * @param uncached      tokens that it has to read
     * @return milliseconds
     */
    public double workMillis(String engine, boolean besideStreams, int streams, int held, int uncached) {
        return factor(engine) * times(besideStreams).workMillis(held, uncached, streams);
    }

    /**
     * Tells how long after the end of its work on a prompt an engine shows the first sign of it.
     *
     * @param engine        names it
     * @param besideStreams whether it also generates
     * @return milliseconds
     */
    public double latencyMillis(String engine, boolean besideStreams) {
        return factor(engine) * times(besideStreams).latencyMillis();
    }

    /**
     * Tells how long a handover takes, from sending the request to the first event.
     *
     * @param tokens tokens of KV cache to be moved
     * @return milliseconds
     */
    public double handoverMillis(int tokens) {
        return handover.expect(1, TOKENS * tokens);
    }

    /**
     * Tells how much moving KV cache adds for each token.
     *
     * @param tokens tokens moved
     * @return milliseconds
     */
    public double moveMillis(int tokens) {
        return handover.coefficient(1) * TOKENS * tokens;
    }

    /**
     * How much may be read by engines that also generate.
     *
     * @return the allowance, which learns from streams
     */
    public ReadingAllowance reading() {
        return reading;
    }

    /**
     * Tells how far apart the events of a stream are.
     *
     * @param streams streams on its engine
     * @return milliseconds
     */
    public double gapMillis(int streams) {
        return gap.expect(1, streams);
    }

    /**
     * Tells how far off expectations are.
     *
     * @return the median error as a part of the expectation
     */
    public double error() {
        return error;
    }

    /**
     * Tells how much slower an engine is than the others.
     *
     * @param engine names it
     * @return times as long that it takes
     */
    public double factor(String engine) {
        EngineSpeed speed = speeds.get(engine);
        return speed == null ? 1 : speed.factor(observed);
    }

    private double firstMillis(String engine, boolean beside, int streams, int held, int uncached) {
        return workMillis(engine, beside, streams, held, uncached) + latencyMillis(engine, beside);
    }

    private PromptTimes times(boolean besideStreams) {
        return besideStreams ? this.besideStreams : alone;
    }
}
