package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A plain service.
 *
 * @param idempotentMethods HTTP methods that may run more than once; GET, HEAD, OPTIONS by default
 * @param deadline          time in which a call must be answered; 10 s by default
 * @param homeRegion        the region whose group holds the idempotency keys; the caller's region by default
 * @param requireKey        whether a call that is not idempotent must carry an idempotency key; false by default
 */
public record ServiceConfig(
        @JsonProperty("idempotent-methods") Optional<List<String>> idempotentMethods,
        @JsonProperty("deadline") Optional<Duration> deadline,
        @JsonProperty("home-region") Optional<String> homeRegion,
        @JsonProperty("require-key") Optional<Boolean> requireKey) {

    private static final List<String> SAFE_METHODS = List.of("GET", "HEAD", "OPTIONS");
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

    /**
     * Tells whether a method may run more than once.
     *
     * @param method the HTTP method in capitals
     * @return true if it may
     */
    public boolean isIdempotent(String method) {
        return idempotentMethods.orElse(SAFE_METHODS).contains(method);
    }

    /**
     * The deadline in force.
     *
     * @return milliseconds
     */
    public long deadlineMillis() {
        return deadline.orElse(DEFAULT_DEADLINE).toMillis();
    }
}
