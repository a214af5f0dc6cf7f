package org.cuminshelf.storage;

import java.io.IOException;

/** Where a group's log lies. What was appended is durable only after {@link #sync()} returned. */
public interface LogDevice extends AutoCloseable {

    /**
     * Reads everything.
     *
     * @return the content, empty for a new device
     * @throws IOException if it can't be read
     */
    byte[] read() throws IOException;

    /**
     * Appends bytes.
     *
     * @param bytes the bytes
     * @throws IOException if they can't be written
     */
    void append(byte[] bytes) throws IOException;

    /**
     * Makes everything appended durable. An error is final: the system may have dropped the bytes, so a second call
     * would report success for bytes that are lost.
     *
     * @throws IOException if it can't be known to be durable
     */
    void sync() throws IOException;

    /**
     * Cuts the content, durably.
     *
     * @param length the length to keep
     * @throws IOException if it can't be cut
     */
    void truncate(long length) throws IOException;

    /**
     * Replaces the whole content at once, durably: after a crash either the old or the new content is there.
     *
     * @param content the new content
     * @throws IOException if it can't be replaced
     */
    void replace(byte[] content) throws IOException;

    @Override
    void close() throws IOException;
}
