package org.cuminshelf.exchange;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes   most bytes of a request's line and headers
 * @param bodyBytes     most bytes of a body
 * @param headerMillis  milliseconds from the first byte of a request to its last header
 * @param idleMillis    milliseconds for which a connection may stay without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

    /** Limits before a configuration is known: those of common servers, generous on purpose. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 8 << 20, 10_000, 30_000);
}
