package org.cuminshelf.organisations;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A key that a caller sends, as the first half of its SHA-256.
 *
 * <p>Failure it guards against: a key turns up in a log line, an error or a message, and whoever reads it can ask in
 * the name of its organisation. Only the digest is kept from where a key is first read, and even that isn't printed.
 */
public final class ApiKeyDigest {

    private static final String ALGORITHM = "SHA-256";
    private static final int BYTES = 16;

    private final String digest;

    private ApiKeyDigest(String digest) {
        this.digest = digest;
    }

    /**
     * Takes the digest of a key.
     *
     * @param text the key as sent
     * @return the key
     */
    public static ApiKeyDigest of(String text) {
        try {
            byte[] whole = MessageDigest.getInstance(ALGORITHM).digest(text.getBytes(StandardCharsets.UTF_8));
            return new ApiKeyDigest(HexFormat.of().formatHex(whole, 0, BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
        }
    }

    /**
     * Names the caller where no organisation does.
     *
     * @return 32 hexadecimal digits, the same for the same key at all entries
     */
    public String hex() {
        return digest;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKeyDigest key && digest.equals(key.digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    @Override
    public String toString() {
        return "(a key)";
    }
}
