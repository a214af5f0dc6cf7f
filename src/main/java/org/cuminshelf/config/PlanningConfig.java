package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.Optional;

/**
 * How engines are split between prefill and decode.
 *
 * @param enabled          whether roles are planned at all; false by default: engines stay mixed
 * @param roleChangeWeight how heavily a role change weighs against goodput; 1 by default, more for fewer changes
 * @param horizon          how far ahead a change must pay; 60 s by default
 * @param prefillFloor     fewest engines kept for prefill; 1 by default
 * @param decodeFloor      fewest engines kept for decode; 1 by default
 * @param changeTime       how long a change takes an engine away; 5 s by default
 */
public record PlanningConfig(
        @JsonProperty("enabled") Optional<Boolean> enabled,
        @JsonProperty("role-change-weight") Optional<Double> roleChangeWeight,
        @JsonProperty("horizon") Optional<Duration> horizon,
        @JsonProperty("prefill-floor") Optional<Integer> prefillFloor,
        @JsonProperty("decode-floor") Optional<Integer> decodeFloor,
        @JsonProperty("change-time") Optional<Duration> changeTime) {}
