package org.cuminshelf.storage;

import java.io.IOException;

/** The storage of a group's log. Appended bytes are durable only after {@link #sync()} has returned. */
public interface LogDevice extends AutoCloseable {

    /**
     * Reads the whole content.
     *
     * @return the content, empty for a new device
     * @throws IOException if the content can't be read
     */
    byte[] read() throws IOException;

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
     * Replaces the whole content atomically and durably: after a crash either the old or the new content exists.
     *
     * @param content the new content
     * @throws IOException if the content can't be replaced
     */
    void replace(byte[] content) throws IOException;

    @Override
    void close() throws IOException;
}
