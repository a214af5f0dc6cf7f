package org.cuminshelf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** The storage of a group's log. Appended bytes are durable only after {@link #sync()} has returned. */
public interface LogDevice extends AutoCloseable {

    /** New content that is written beside the old one and replaces it once it is complete. */
    interface Replacement extends AutoCloseable {

        /**
         * Appends bytes to the new content.
         *
         * @param bytes the bytes
         * @throws IOException if the bytes can't be written; the old content is still in use
         */
        void append(byte[] bytes) throws IOException;

        /**
         * Makes the new content durable, while the old one is still in use.
         *
         * @throws IOException if the new content may not be durable; the old content is still in use
         */
        void sync() throws IOException;

        /**
         * Replaces the old content by the new one, atomically and durably: after a crash either the old or the new
         * content exists.
         *
         * @throws IOException if it isn't known which content a crash would leave; the device must not be used any more
         */
        void commit() throws IOException;

        /** Discards the new content if it wasn't committed. */
        @Override
        void close();
    }

    /**
     * Returns the length of the content.
     *
     * @return the length in bytes, 0 for a new device
     * @throws IOException if the length can't be read
     */
    long length() throws IOException;

    /**
     * Reads bytes until the target is full or the content ends.
     *
     * @param position the position of the first byte
     * @param target   receives the bytes
     * @throws IOException if the content can't be read
     */
    void read(long position, ByteBuffer target) throws IOException;

    /**
     * Appends bytes to the content.
     *
     * @param bytes the bytes
     * @throws IOException if the bytes can't be written
     */
    void append(byte[] bytes) throws IOException;

    /**
     * Makes all appended bytes durable. Must not be retried after an error: the operating system may have dropped the
     * bytes, and a second call would report success although they are lost.
     *
     * @throws IOException if the bytes may not be durable
     */
    void sync() throws IOException;

    /**
     * Truncates the content durably.
     *
     * @param length the remaining length in bytes
     * @throws IOException if the content can't be truncated
     */
    void truncate(long length) throws IOException;

    /**
     * Starts new content, empty at first.
     *
     * @return the new content
     * @throws IOException if it can't be created; the old content is still in use
     */
    Replacement startReplacement() throws IOException;

    @Override
    void close() throws IOException;
}
