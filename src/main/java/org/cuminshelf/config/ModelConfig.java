package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A language model. The methods return a component's value or its default.
 *
 * @param contextTokens    maximum of prompt and output together, in tokens; 8192 by default
 * @param adapters         adapters that callers may request
 * @param version          version that engines should load
 * @param firstToken       maximum time to the first token; 780 ms by default
 * @param tokenGap         target for the time between two tokens; 40 ms by default
 * @param deadline         maximum time to the end of the response; 60 s by default
 * @param prefillPerSecond initial estimate of the prompt tokens that an engine processes per second; 8000 by default
 * @param decodePerSecond  initial estimate of the output tokens that an engine generates per second at full batch; 2000
 *                         by default
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

    private static final int DEFAULT_CONTEXT_TOKENS = 8192;
    private static final Duration DEFAULT_FIRST_TOKEN = Duration.ofMillis(780);
    private static final Duration DEFAULT_TOKEN_GAP = Duration.ofMillis(40);
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);
    private static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 8000;
    private static final int DEFAULT_DECODE_TOKENS_PER_SECOND = 2000;

    /**
     * Returns the maximum of prompt and output together.
     *
     * @return number of tokens
     */
    public int maxContextTokens() {
        return contextTokens.orElse(DEFAULT_CONTEXT_TOKENS);
    }

    /**
     * Returns the maximum time to the first token.
     *
     * @return time in milliseconds
     */
    public long firstTokenMillis() {
        return firstToken.orElse(DEFAULT_FIRST_TOKEN).toMillis();
    }

    /**
     * Returns the target for the time between two tokens.
     *
     * @return time in milliseconds
     */
    public long tokenGapMillis() {
        return tokenGap.orElse(DEFAULT_TOKEN_GAP).toMillis();
    }

    /**
     * Returns the maximum time to the end of the response.
     *
     * @return time in milliseconds
     */
    public long deadlineMillis() {
        return deadline.orElse(DEFAULT_DEADLINE).toMillis();
    }

    /**
     * Returns the initial estimate of an engine's prefill throughput.
     *
     * @return tokens per second
     */
    public int initialPrefillTokensPerSecond() {
        return prefillPerSecond.orElse(DEFAULT_PREFILL_TOKENS_PER_SECOND);
    }

    /**
     * Returns the initial estimate of an engine's decode throughput over its whole batch.
     *
     * @return tokens per second
     */
    public int initialDecodeTokensPerSecond() {
        return decodePerSecond.orElse(DEFAULT_DECODE_TOKENS_PER_SECOND);
    }
}
