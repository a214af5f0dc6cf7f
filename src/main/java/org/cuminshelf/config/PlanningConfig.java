package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.Optional;

/**
 * Planning of engine roles: how engines are divided between prefill and decode.
 *
 * @param enabled          whether roles are planned; false by default, which leaves all engines mixed
 * @param roleChangeWeight cost of a role change relative to goodput; 1 by default, larger values for fewer changes
 * @param horizon          time within which a role change must recover its cost; 60 s by default
 * @param prefillFloor     minimum number of engines for prefill; 1 by default
 * @param decodeFloor      minimum number of engines for decode; 1 by default
 * @param changeTime       time for which an engine is unavailable during a role change; 5 s by default
 */
public record PlanningConfig(
        @JsonProperty("enabled") Optional<Boolean> enabled,
        @JsonProperty("role-change-weight") Optional<Double> roleChangeWeight,
        @JsonProperty("horizon") Optional<Duration> horizon,
        @JsonProperty("prefill-floor") Optional<Integer> prefillFloor,
        @JsonProperty("decode-floor") Optional<Integer> decodeFloor,
        @JsonProperty("change-time") Optional<Duration> changeTime) {}
