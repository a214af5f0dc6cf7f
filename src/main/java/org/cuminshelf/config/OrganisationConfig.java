package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * The limits of one organisation, or of every organisation without its own under the name {@code default}.
 *
 * @param requestsPerSecond requests it may start in a second over all entries; no limit by default
 * @param burst             requests it may start at once over all entries; two seconds' worth by default
 * @param priority          priority of its calls where they name none, 0 to 9
 * @param weight            its share where organisations compete; 1 by default
 */
public record OrganisationConfig(
        @JsonProperty("requests-per-second") Optional<Double> requestsPerSecond,
        @JsonProperty("burst") Optional<Double> burst,
        @JsonProperty("priority") Optional<Integer> priority,
        @JsonProperty("weight") Optional<Double> weight) {}
