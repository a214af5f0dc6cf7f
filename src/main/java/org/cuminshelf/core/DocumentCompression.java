package org.cuminshelf.core;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** DEFLATE compression (zlib format) of documents sent between processes. */
public final class DocumentCompression {

    /** Bounds the document as message sizes are bounded too; configurations are a few megabytes at most. */
    private static final int MAX_DOCUMENT_BYTES = 64 << 20;

    private DocumentCompression() {}

    /**
     * Compresses a document.
     *
     * @param document the document
     * @return the compressed bytes
     */
    public static ByteString deflate(ByteString document) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            document.writeTo(deflater);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return ByteString.copyFrom(bytes.toByteArray());
    }

    /**
     * Decompresses a document.
     *
     * @param deflated the compressed bytes
     * @return the document
     * @throws IOException if the bytes are malformed, or the document is larger than 64 MiB
     */
    public static byte[] inflate(byte[] deflated) throws IOException {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] document = inflater.readNBytes(MAX_DOCUMENT_BYTES + 1);
            if (document.length > MAX_DOCUMENT_BYTES) {
                throw new IOException("the document is larger than " + MAX_DOCUMENT_BYTES + " bytes");
            }
            return document;
        }
    }
}
