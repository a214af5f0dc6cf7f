package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * The limits of one organisation; under the name {@code default}, of every organisation without limits of its own.
 *
 * @param requestsPerSecond maximum rate of new requests over all entries; unlimited by default
 * @param burst             maximum number of requests started at once over all entries; two seconds' worth by
 *                          default
 * @param priority          priority of its calls that state none, 0 to 9
 * @param weight            relative share of capacity when organisations compete; 1 by default
 */
public record OrganisationConfig(
        @JsonProperty("requests-per-second") Optional<Double> requestsPerSecond,
        @JsonProperty("burst") Optional<Double> burst,
        @JsonProperty("priority") Optional<Integer> priority,
        @JsonProperty("weight") Optional<Double> weight) {}
