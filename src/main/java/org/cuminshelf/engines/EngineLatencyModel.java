package org.cuminshelf.engines;

import java.util.HashMap;
import java.util.Map;

/**
 * What is learnt of the engines of one service.
 *
 * <p>What all of them have in common is fitted to all observations; an engine that is slower than the others has a
 * factor of its own, see {@link EngineSlowdown}.
 */
public final class EngineLatencyModel {

    /** Milliseconds of a handover before any was seen, and for each thousand tokens. */
    private static final double[] PRIOR_HANDOVER_MILLIS = {15, 1};

    private static final double[] TYPICAL_HANDOVER_FEATURES = {1, 8};
    /** Milliseconds between events before any was seen, and for each stream beside it. */
    private static final double[] PRIOR_EVENT_INTERVAL_MILLIS = {60, 1};

    private static final double[] TYPICAL_EVENT_INTERVAL_FEATURES = {1, 12};
    private static final double THOUSANDS_PER_TOKEN = 1e-3;
    /** Part by which one observation moves the running median of the error. */
    private static final double ERROR_STEP = 0.06;
    /** Prompts seen before engines are told apart: until then what is off is the fit of all of them. */
    private static final int MIN_SHARED_PROMPTS = 24;
    /** Part of the expectation by which it is off before any was seen to be. */
    private static final double INITIAL_ERROR = 0.3;
    /** Engines remembered beyond those of the largest deployment. */
    private static final int MAX_ENGINES = 2_048;

    private final PromptLatencyFit prefillOnly = PromptLatencyFit.of(false);
    private final PromptLatencyFit withDecode = PromptLatencyFit.of(true);
    private final RobustLinearFit handoverFit = new RobustLinearFit(PRIOR_HANDOVER_MILLIS, TYPICAL_HANDOVER_FEATURES);
    private final RobustLinearFit eventIntervalFit =
            new RobustLinearFit(PRIOR_EVENT_INTERVAL_MILLIS, TYPICAL_EVENT_INTERVAL_FEATURES);
    private final Map<String, EngineSlowdown> slowdowns = new HashMap<>();
    private final PrefillAllowance prefillAllowance = PrefillAllowance.create();
    private double relativeError = INITIAL_ERROR;
    private long observedPrompts;

    private EngineLatencyModel() {}

    /**
     * Makes a model that has seen nothing.
     *
     * @return the model
     */
    public static EngineLatencyModel create() {
        return new EngineLatencyModel();
    }

    /**
     * Learns from a prompt that was taken in.
     *
     * @param sample what was seen
     */
    public void observePrompt(PromptSample sample) {
        PromptLatencyFit fit = latencyFit(sample.alsoDecodes());
        double expectedMillis = sample.waitMillis()
                + firstOutputMillis(
                        sample.engine(),
                        sample.alsoDecodes(),
                        sample.streams(),
                        sample.cachedTokens(),
                        sample.uncachedTokens());
        double deviation = Math.abs(sample.elapsedMillis() - expectedMillis) / Math.max(1, expectedMillis);
        relativeError += ERROR_STEP * Math.signum(deviation - relativeError) * Math.max(relativeError, ERROR_STEP);
        observedPrompts++;
        if (observedPrompts > MIN_SHARED_PROMPTS) {
            if (slowdowns.size() > MAX_ENGINES) {
                slowdowns.clear();
            }
            double ownShare = 1 - sample.waitMillis() / Math.max(1, expectedMillis);
            slowdowns
                    .computeIfAbsent(sample.engine(), key -> new EngineSlowdown())
                    .observe(
                            observedPrompts,
                            Math.max(1, sample.elapsedMillis()) / Math.max(1, expectedMillis),
                            Math.max(0, ownShare));
        }
        fit.observe(sample);
    }

    /**
     * Learns from a KV cache that another engine took over.
     *
     * @param tokens tokens moved
     * @param millis milliseconds to the first event
     */
    public void observeHandover(int tokens, double millis) {
        handoverFit.observe(new double[] {1, THOUSANDS_PER_TOKEN * tokens}, millis);
    }

    /**
     * Learns from a stream that ended.
     *
     * @param streams streams on the engine
     * @param millis  mean milliseconds between two of its events
     */
    public void observeEventInterval(int streams, double millis) {
        eventIntervalFit.observe(new double[] {1, streams}, millis);
    }

    /**
     * Tells how long an engine is taken up by a prompt.
     *
     * @param engine        names it
     * @param alsoDecodes whether it also generates
     * @param streams       streams that run there
     * @param cachedTokens          tokens of the prompt that it holds
     * @param uncachedTokens      tokens that it has to read
     * @return milliseconds
     */
    public double prefillMillis(String engine, boolean alsoDecodes, int streams, int cachedTokens, int uncachedTokens) {
        return slowdown(engine) * latencyFit(alsoDecodes).prefillMillis(cachedTokens, uncachedTokens, streams);
    }

    /**
     * Tells how long after the end of its work on a prompt an engine shows the first sign of it.
     *
     * @param engine        names it
     * @param alsoDecodes whether it also generates
     * @return milliseconds
     */
    public double latencyMillis(String engine, boolean alsoDecodes) {
        return slowdown(engine) * latencyFit(alsoDecodes).latencyMillis();
    }

    /**
     * Tells how long a handover takes, from sending the request to the first event.
     *
     * @param tokens tokens of KV cache to be moved
     * @return milliseconds
     */
    public double handoverMillis(int tokens) {
        return handoverFit.predict(1, THOUSANDS_PER_TOKEN * tokens);
    }

    /**
     * Tells how much moving KV cache adds for each token.
     *
     * @param tokens tokens moved
     * @return milliseconds
     */
    public double transferMillis(int tokens) {
        return handoverFit.coefficient(1) * THOUSANDS_PER_TOKEN * tokens;
    }

    /**
     * How much may be read by engines that also generate.
     *
     * @return the allowance, which learns from streams
     */
    public PrefillAllowance prefillAllowance() {
        return prefillAllowance;
    }

    /**
     * Tells how far apart the events of a stream are.
     *
     * @param streams streams on its engine
     * @return milliseconds
     */
    public double eventIntervalMillis(int streams) {
        return eventIntervalFit.predict(1, streams);
    }

    /**
     * Tells how far off expectations are.
     *
     * @return the median error as a part of the expectation
     */
    public double relativeError() {
        return relativeError;
    }

    /**
     * Tells how much slower an engine is than the others.
     *
     * @param engine names it
     * @return times as long that it takes
     */
    public double slowdown(String engine) {
        EngineSlowdown known = slowdowns.get(engine);
        return known == null ? 1 : known.factor(observedPrompts);
    }

    private double firstOutputMillis(
            String engine, boolean alsoDecodes, int streams, int cachedTokens, int uncachedTokens) {
        return prefillMillis(engine, alsoDecodes, streams, cachedTokens, uncachedTokens)
                + latencyMillis(engine, alsoDecodes);
    }

    private PromptLatencyFit latencyFit(boolean alsoDecodes) {
        return alsoDecodes ? this.withDecode : prefillOnly;
    }
}
