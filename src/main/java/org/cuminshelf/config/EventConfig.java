package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;

/**
 * A scheduled event for which capacity is prepared in advance.
 *
 * @param start    start time of the event
 * @param services plain services (without a model) that it uses
 * @param models   models that it uses
 * @param adapters adapters that it uses
 * @param priority priority of its calls, 0 to 9
 * @param engines  number of engines that it needs with its models and adapters loaded
 * @param prefill  expected fraction of prefill work, 0 to 1
 */
public record EventConfig(
        @JsonProperty(value = "start", required = true) OffsetDateTime start,
        @JsonProperty("services") Optional<List<String>> services,
        @JsonProperty("models") Optional<List<String>> models,
        @JsonProperty("adapters") Optional<List<String>> adapters,
        @JsonProperty("priority") Optional<Integer> priority,
        @JsonProperty("engines") Optional<Integer> engines,
        @JsonProperty("prefill") Optional<Double> prefill) {}
