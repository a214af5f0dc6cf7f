package org.cuminshelf.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/**
 * A team of operators and its key for the administration interface.
 *
 * @param role      permissions of the team
 * @param keySha256 SHA-256 of its key in lower-case hexadecimal
 */
public record TeamConfig(
        @JsonProperty(value = "role", required = true) Role role,
        @JsonProperty(value = "key-sha256", required = true) String keySha256) {

    /** Permissions of a team. */
    public enum Role {
        /** Read only. */
        @JsonProperty("read")
        READ,
        /** Read and change. */
        @JsonProperty("operate")
        OPERATE;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
