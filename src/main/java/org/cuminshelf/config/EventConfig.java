package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;

/**
 * A live event that opens at a fixed hour.
 *
 * @param start    when it opens
 * @param services plain services it needs
 * @param models   models it needs
 * @param adapters adapters it needs
 * @param priority priority of its calls, 0 to 9
 * @param engines  engines it needs with its models and adapters loaded
 * @param prefill  the share of prefill work expected, 0 to 1
 */
public record EventConfig(
        @JsonProperty(value = "start", required = true) OffsetDateTime start,
        @JsonProperty("services") Optional<List<String>> services,
        @JsonProperty("models") Optional<List<String>> models,
        @JsonProperty("adapters") Optional<List<String>> adapters,
        @JsonProperty("priority") Optional<Integer> priority,
        @JsonProperty("engines") Optional<Integer> engines,
        @JsonProperty("prefill") Optional<Double> prefill) {}
