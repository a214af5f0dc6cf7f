package org.cuminshelf.exchange;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes   most bytes of a request's line and headers
 * @param maxBodyBytes     most bytes of a body
 * @param headerTimeoutMillis  milliseconds from the first byte of a request to its last header
 * @param idleTimeoutMillis    milliseconds for which a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits before a configuration is known: those of common servers, generous on purpose. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 8 << 20, 10_000, 30_000);
}
