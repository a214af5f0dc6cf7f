package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A plain service, without a model.
 *
 * @param idempotentMethods HTTP methods that may run more than once; GET, HEAD and OPTIONS by default
 * @param deadline          maximum time to the response to a call; 10 s by default
 * @param homeRegion        region whose replica group stores the idempotency keys; the caller's region by default
 * @param requireKey        whether a call that is not idempotent must carry an idempotency key; false by default
 */
public record ServiceConfig(
        @JsonProperty("idempotent-methods") Optional<List<String>> idempotentMethods,
        @JsonProperty("deadline") Optional<Duration> deadline,
        @JsonProperty("home-region") Optional<String> homeRegion,
        @JsonProperty("require-key") Optional<Boolean> requireKey) {

    private static final List<String> DEFAULT_IDEMPOTENT_METHODS = List.of("GET", "HEAD", "OPTIONS");
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

    /**
     * Returns whether a method may run more than once.
     *
     * @param method HTTP method in upper case
     * @return true if it may
     */
    public boolean isIdempotent(String method) {
        return idempotentMethods.orElse(DEFAULT_IDEMPOTENT_METHODS).contains(method);
    }

    /**
     * Returns the deadline, or its default.
     *
     * @return time in milliseconds
     */
    public long deadlineMillis() {
        return deadline.orElse(DEFAULT_DEADLINE).toMillis();
    }
}
