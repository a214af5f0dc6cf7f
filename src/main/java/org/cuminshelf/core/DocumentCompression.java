package org.cuminshelf.core;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Documents made smaller for the way between processes. */
public final class DocumentCompression {

    /** Largest document in bytes, as messages are bounded too; callers' configurations are a few megabytes at most. */
    private static final int LARGEST = 64 << 20;

    private DocumentCompression() {}

    /**
     * Makes a document smaller.
     *
     * @param document the document
     * @return it, deflated
     */
    public static ByteString deflate(ByteString document) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            document.writeTo(deflater);
        } catch (IOException e) {
            throw new IllegalStateException("memory can't be written", e);
        }
        return ByteString.copyFrom(bytes.toByteArray());
    }

    /**
     * Gives a document back as it was.
     *
     * @param deflated the document, deflated
     * @return the document
     * @throws IOException if the bytes are no deflated document, or one that is too large
     */
    public static byte[] inflate(byte[] deflated) throws IOException {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] document = inflater.readNBytes(LARGEST + 1);
            if (document.length > LARGEST) {
                throw new IOException("the document is larger than " + LARGEST + " bytes");
            }
            return document;
        }
    }
}
