package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A language model.
 *
 * @param contextTokens    longest prompt and output together, in tokens; 8192 by default
 * @param adapters         adapters that callers may name
 * @param version          the version engines should hold
 * @param firstToken       time in which the first token must come; 780 ms by default
 * @param tokenGap         longest usual gap between tokens; 40 ms by default
 * @param deadline         time in which the whole answer must come; 60 s by default
 * @param prefillPerSecond prompt tokens an engine takes in a second, a first guess; 8000 by default
 * @param decodePerSecond  output tokens an engine gives in a second at full batch, a first guess; 2000 by default
 */
public record ModelConfig(
        @JsonProperty("context-tokens") Optional<Integer> contextTokens,
        @JsonProperty("adapters") Optional<List<String>> adapters,
        @JsonProperty("version") Optional<String> version,
        @JsonProperty("first-token") Optional<Duration> firstToken,
        @JsonProperty("token-gap") Optional<Duration> tokenGap,
        @JsonProperty("deadline") Optional<Duration> deadline,
        @JsonProperty("prefill-per-second") Optional<Integer> prefillPerSecond,
        @JsonProperty("decode-per-second") Optional<Integer> decodePerSecond) {

    private static final int DEFAULT_CONTEXT = 8192;
    private static final Duration DEFAULT_FIRST_TOKEN = Duration.ofMillis(780);
    private static final Duration DEFAULT_TOKEN_GAP = Duration.ofMillis(40);
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);
    private static final int DEFAULT_PREFILL = 8000;
    private static final int DEFAULT_DECODE = 2000;

    /**
     * The context length in force.
     *
     * @return tokens
     */
    public int maxContextTokens() {
        return contextTokens.orElse(DEFAULT_CONTEXT);
    }

    /**
     * The time to the first token in force.
     *
     * @return milliseconds
     */
    public long firstTokenMillis() {
        return firstToken.orElse(DEFAULT_FIRST_TOKEN).toMillis();
    }

    /**
     * The gap between tokens in force.
     *
     * @return milliseconds
     */
    public long tokenGapMillis() {
        return tokenGap.orElse(DEFAULT_TOKEN_GAP).toMillis();
    }

    /**
     * The deadline in force.
     *
     * @return milliseconds
     */
    public long deadlineMillis() {
        return deadline.orElse(DEFAULT_DEADLINE).toMillis();
    }

    /**
     * The first guess of an engine's prefill speed.
     *
     * @return tokens a second
     */
    public int initialPrefillTokensPerSecond() {
        return prefillPerSecond.orElse(DEFAULT_PREFILL);
    }

    /**
     * The first guess of an engine's decode speed over its whole batch.
     *
     * @return tokens a second
     */
    public int initialDecodeTokensPerSecond() {
        return decodePerSecond.orElse(DEFAULT_DECODE);
    }
}
