package org.cuminshelf.poison;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Identifies equal requests, or an attribute that several requests share. That of a request is a 128-bit hash of
 * method, host, path with query, caller and body. The request id that a caller sends is not included, as it differs
 * each time. Two different requests have the same fingerprint by chance only once in some 10^38 pairs, so that no
 * request is refused in place of another.
 *
 * @param high the upper 64 bits
 * @param low  the lower 64 bits
 */
public record Fingerprint(long high, long low) implements Comparable<Fingerprint> {

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
    private static final int HEX_DIGITS = 16;
    private static final int TEXT_LENGTH = 2 * HEX_DIGITS;
    /** Separates the parts that are hashed together; HTTP doesn't allow it in any of them. */
    private static final char SEPARATOR = '\n';

    /**
     * Creates the fingerprint of a request. Takes time in proportion to the body, which is not copied.
     *
     * @param method the HTTP method
     * @param host   the requested host
     * @param target path and query as sent
     * @param caller identity of the caller, empty if unknown
     * @param body   the body
     * @return the fingerprint
     */
    public static Fingerprint of(String method, String host, String target, String caller, byte[] body) {
        String head = method + SEPARATOR + host + SEPARATOR + target + SEPARATOR + caller;
        long[] ofHead = HASH.hashBytes(head.getBytes(StandardCharsets.UTF_8));
        long[] ofBody = HASH.hashBytes(body);
        long[] both = HASH.hashLongs(new long[] {ofHead[0], ofHead[1], ofBody[0], ofBody[1]});
        return new Fingerprint(both[1], both[0]);
    }

    /**
     * Creates the fingerprint of a text.
     *
     * @param text the text
     * @return the fingerprint
     */
    static Fingerprint of(String text) {
        long[] hash = HASH.hashBytes(text.getBytes(StandardCharsets.UTF_8));
        return new Fingerprint(hash[1], hash[0]);
    }

    /**
     * Parses the format of {@link #toString()}.
     *
     * @param text 32 hexadecimal digits
     * @return the fingerprint, or empty if the text is malformed
     */
    public static Optional<Fingerprint> parse(String text) {
        if (text.length() != TEXT_LENGTH) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Fingerprint(
                    HexFormat.fromHexDigitsToLong(text, 0, HEX_DIGITS),
                    HexFormat.fromHexDigitsToLong(text, HEX_DIGITS, TEXT_LENGTH)));
        } catch (NumberFormatException notHexadecimal) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(Fingerprint other) {
        int byHigh = Long.compareUnsigned(high, other.high);
        return byHigh != 0 ? byHigh : Long.compareUnsigned(low, other.low);
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
