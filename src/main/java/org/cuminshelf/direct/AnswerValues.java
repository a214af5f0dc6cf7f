package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;

/**
 * What an answer is worth, in answers of usual size on the same route: a longer prompt is worth more to its caller, but
 * less than in proportion. Without it the largest prompts are the first to be refused, as they take most of an engine.
 */
final class AnswerValues {

    /** Part of a usual answer's worth that has nothing to do with its size. */
    private static final double BASE = 0.3;
    /** Times a usual answer that the largest is worth at the most. */
    private static final double MOST = 4;
    /** Tokens of a prompt that count as much as one of output. */
    private static final double OUTPUT_WEIGHT = 10;
    /** Weight of one call in the mean size of its route: a memory of a hundred. */
    private static final double MEMORY = 0.01;

    private final Map<String, Double> meanSizes = new HashMap<>();

    /** Notes a call that was asked for. */
    void observe(DirectCall call, GenerationShape shape) {
        double size = sizeInPromptTokens(shape);
        meanSizes.merge(call.route.name(), size, (mean, next) -> mean + MEMORY * (next - mean));
    }

    /** What a call's answer is worth if it comes in time. */
    double valueOf(DirectCall call, GenerationShape shape) {
        double mean = meanSizes.getOrDefault(call.route.name(), sizeInPromptTokens(shape));
        return Math.min(MOST, BASE + (1 - BASE) * sizeInPromptTokens(shape) / Math.max(1, mean));
    }

    /** The size of a generation, in tokens of prompt. */
    static double sizeInPromptTokens(GenerationShape shape) {
        return shape.promptTokens() + OUTPUT_WEIGHT * shape.outputTokens();
    }
}
