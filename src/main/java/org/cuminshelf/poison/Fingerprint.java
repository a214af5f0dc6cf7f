package org.cuminshelf.poison;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * What makes two requests the same: method, host, path with query, caller and body, as a 128-bit hash. The id that a
 * caller gives a request is no part of it, as it is new each time. Two different requests share a fingerprint by chance
 * only once in some 10^38 pairs, so that none is refused in place of another.
 *
 * @param high the upper half
 * @param low  the lower half
 */
public record Fingerprint(long high, long low) implements Comparable<Fingerprint> {

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
    private static final int HEX_DIGITS = 16;
    private static final int TEXT_LENGTH = 2 * HEX_DIGITS;
    /** Between parts that are hashed together; HTTP allows it in none of them. */
    private static final char SEPARATOR = '\n';

    /**
     * Makes the fingerprint of a request. It takes time in proportion to the body, which is not copied.
     *
     * @param method the method
     * @param host   the host asked for
     * @param target path and query as sent
     * @param caller names who sends it, empty where nothing does
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
     * Reads a fingerprint as {@link #toString()} writes it.
     *
     * @param text 32 hexadecimal digits
     * @return the fingerprint, or nothing if the text is none
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
