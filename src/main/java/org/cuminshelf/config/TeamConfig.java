package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/**
 * A team of operators and its key to the administration interface.
 *
 * @param role      what the team may do
 * @param keySha256 SHA-256 of its key in lower-case hexadecimal
 */
public record TeamConfig(
        @JsonProperty(value = "role", required = true) Role role,
        @JsonProperty(value = "key-sha256", required = true) String keySha256) {

    /** What a team may do. */
    public enum Role {
        /** See everything, change nothing. */
        @JsonProperty("read")
        READ,
        /** See and change. */
        @JsonProperty("operate")
        OPERATE;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
