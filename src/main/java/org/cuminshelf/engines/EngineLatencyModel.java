package org.cuminshelf.engines;

import java.util.HashMap;
import java.util.Map;

/**
 * Latency model of the engines of one service.
 *
 * <p>One fit is shared by all engines; an engine that is slower than the others has an additional factor, see
 * {@link EngineSlowdown}.
 */
public final class EngineLatencyModel {

    /** Prior of the handover time: milliseconds, and milliseconds per thousand tokens. */
    private static final double[] PRIOR_HANDOVER_MILLIS = {15, 1};

    private static final double[] TYPICAL_HANDOVER_FEATURES = {1, 8};
    /** Prior of the interval between events: milliseconds, and milliseconds per concurrent stream. */
    private static final double[] PRIOR_EVENT_INTERVAL_MILLIS = {60, 1};

    private static final double[] TYPICAL_EVENT_INTERVAL_FEATURES = {1, 12};
    private static final double THOUSANDS_PER_TOKEN = 1e-3;
    /** Fraction by which one observation moves the running median of the error. */
    private static final double ERROR_STEP = 0.06;
    /**
     * Prompts observed before the slowdown of single engines is estimated; until then a deviation is due to the shared
     * fit.
     */
    private static final int MIN_SHARED_PROMPTS = 24;
    /** Relative error assumed before any observation. */
    private static final double INITIAL_ERROR = 0.3;
    /** Engines whose slowdown is kept; more than the largest deployment has. */
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
     * Creates a model without observations.
     *
     * @return the model
     */
    public static EngineLatencyModel create() {
        return new EngineLatencyModel();
    }

    /**
     * Adds the observation of a prefilled prompt.
     *
     * @param sample the observation
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
                            Math.clamp(ownShare, 0, 1),
                            fit.isWindowFull());
        }
        fit.observe(sample);
    }

    /**
     * Adds the observation of a KV cache that another engine took over.
     *
     * @param tokens tokens transferred
     * @param millis milliseconds to the first event
     */
    public void observeHandover(int tokens, double millis) {
        handoverFit.observe(new double[] {1, THOUSANDS_PER_TOKEN * tokens}, millis);
    }

    /**
     * Adds the observation of a stream that ended.
     *
     * @param streams streams on the engine
     * @param millis  mean milliseconds between two of its events
     */
    public void observeEventInterval(int streams, double millis) {
        eventIntervalFit.observe(new double[] {1, streams}, millis);
    }

    /**
     * Predicts how long a prompt occupies an engine.
     *
     * @param engine         the name of the engine
     * @param alsoDecodes    whether the engine also generates output
     * @param streams        streams that run on the engine
     * @param cachedTokens   tokens of the prompt that the engine has in its cache
     * @param uncachedTokens tokens that it has to prefill
     * @return milliseconds
     */
    public double prefillMillis(String engine, boolean alsoDecodes, int streams, int cachedTokens, int uncachedTokens) {
        return slowdown(engine) * latencyFit(alsoDecodes).prefillMillis(cachedTokens, uncachedTokens, streams);
    }

    /**
     * Predicts how long after the end of a prefill the engine's first output is received.
     *
     * @param engine      the name of the engine
     * @param alsoDecodes whether the engine also generates output
     * @return milliseconds
     */
    public double latencyMillis(String engine, boolean alsoDecodes) {
        return slowdown(engine) * latencyFit(alsoDecodes).latencyMillis();
    }

    /**
     * Predicts how long a handover takes, from sending the request to the first event.
     *
     * @param tokens tokens of KV cache to transfer
     * @return milliseconds
     */
    public double handoverMillis(int tokens) {
        return handoverFit.predict(1, THOUSANDS_PER_TOKEN * tokens);
    }

    /**
     * Predicts the part of a handover that grows with the tokens transferred.
     *
     * @param tokens tokens of KV cache to transfer
     * @return milliseconds
     */
    public double transferMillis(int tokens) {
        return handoverFit.coefficient(1) * THOUSANDS_PER_TOKEN * tokens;
    }

    /**
     * Returns how much prefill engines that also decode may have in progress.
     *
     * @return the allowance, which adapts to observed streams
     */
    public PrefillAllowance prefillAllowance() {
        return prefillAllowance;
    }

    /**
     * Predicts the interval between the events of a stream.
     *
     * @param streams streams on its engine
     * @return milliseconds
     */
    public double eventIntervalMillis(int streams) {
        return eventIntervalFit.predict(1, streams);
    }

    /**
     * Returns the error of predictions for prompts.
     *
     * @return the median error as a fraction of the prediction
     */
    public double relativeError() {
        return relativeError;
    }

    /**
     * Returns how much slower an engine is than the others.
     *
     * @param engine the name of the engine
     * @return factor on predicted times; 1 for an engine without observations
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
