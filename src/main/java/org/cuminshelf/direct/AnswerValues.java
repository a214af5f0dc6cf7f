package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;

/**
 * Value of an answer, in answers of usual size on the same route. A longer prompt is worth more to its caller, but less
 * than in proportion to its size. With a constant value the largest prompts would be refused first, as they take most
 * of an engine's time.
 */
final class AnswerValues {

    /** Share of a usual answer's value that does not depend on its size. */
    private static final double BASE_VALUE = 0.3;
    /** Maximum value of an answer, in usual answers. */
    private static final double MAX_VALUE = 4;
    /** Tokens of a prompt that count as much as one token of output. */
    private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
    /** Weight of one call in the mean size of its route: a window of about a hundred calls. */
    private static final double SAMPLE_WEIGHT = 0.01;

    private final Map<String, Double> meanSizes = new HashMap<>();

    /** Adds a received call to the mean size of its route. */
    void observe(DirectCall call, GenerationShape shape) {
        double size = sizeInPromptTokens(shape);
        meanSizes.merge(call.route.name(), size, (mean, next) -> mean + SAMPLE_WEIGHT * (next - mean));
    }

    /** Returns the value of a call's answer if it is in time. */
    double valueOf(DirectCall call, GenerationShape shape) {
        double mean = meanSizes.getOrDefault(call.route.name(), sizeInPromptTokens(shape));
        return Math.min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * sizeInPromptTokens(shape) / Math.max(1, mean));
    }

    /** Returns the size of a generation, in prompt tokens. */
    static double sizeInPromptTokens(GenerationShape shape) {
        return shape.promptTokens() + PROMPT_TOKENS_PER_OUTPUT_TOKEN * shape.outputTokens();
    }
}
