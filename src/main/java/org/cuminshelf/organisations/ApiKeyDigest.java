package org.cuminshelf.organisations;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The digest of an API key: the first half of its SHA-256.
 *
 * <p>Failure it guards against: a key appears in a log line, an error or a message, and a reader of it can send
 * requests on behalf of its organisation. Only the digest is kept once a key is read, and {@link #toString()} omits
 * the digest.
 */
public final class ApiKeyDigest {

    private static final String ALGORITHM = "SHA-256";
    private static final int DIGEST_BYTES = 16;

    private final String digest;

    private ApiKeyDigest(String digest) {
        this.digest = digest;
    }

    /**
     * Computes the digest of a key.
     *
     * @param text the key as received
     * @return the digest
     */
    public static ApiKeyDigest of(String text) {
        try {
            byte[] whole = MessageDigest.getInstance(ALGORITHM).digest(text.getBytes(StandardCharsets.UTF_8));
            return new ApiKeyDigest(HexFormat.of().formatHex(whole, 0, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
        }
    }

    /**
     * Returns the digest as text, which identifies the caller where no organisation is known.
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
