package org.cuminshelf.exchange;

/**
 * Limits on the size and the duration of a caller's requests.
 *
 * @param maxHeaderBytes      maximum size of a request's line and headers
 * @param maxBodyBytes        maximum size of a body
 * @param headerTimeoutMillis maximum time from the first byte of a request to its last header
 * @param idleTimeoutMillis   maximum time without a request on a connection
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits until a configuration is known: as generous as those of common servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 8 << 20, 10_000, 30_000);
}
