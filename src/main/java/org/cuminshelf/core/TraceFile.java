package org.cuminshelf.core;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cuminshelf.message.TraceRecord;

/**
 * Recorded inputs of one core with their times, as length-delimited {@link TraceRecord}s. Replaying them in a new core
 * with the same settings produces the same outputs. An instance either reads or writes.
 */
public final class TraceFile implements AutoCloseable {

    private final InputStream input;
    private final OutputStream output;

    private TraceFile(InputStream input, OutputStream output) {
        this.input = input;
        this.output = output;
    }

    /**
     * Opens a trace for writing and overwrites an existing file.
     *
     * @param file the file
     * @return the trace
     * @throws IOException if the file can't be written
     */
    public static TraceFile write(Path file) throws IOException {
        return new TraceFile(null, new BufferedOutputStream(Files.newOutputStream(file)));
    }

    /**
     * Opens a trace for reading.
     *
     * @param file the file
     * @return the trace
     * @throws IOException if the file can't be read
     */
    public static TraceFile read(Path file) throws IOException {
        return new TraceFile(new BufferedInputStream(Files.newInputStream(file)), null);
    }

    /**
     * Appends a record.
     *
     * @param record the record
     * @throws IOException if it can't be written
     */
    public void append(TraceRecord record) throws IOException {
        record.writeDelimitedTo(output);
    }

    /**
     * Reads the next record. The trace ends at a truncated record, which a killed process may leave behind.
     *
     * @return the record; empty at the end of the trace
     * @throws IOException if the file can't be read
     */
    public Optional<TraceRecord> next() throws IOException {
        try {
            return Optional.ofNullable(TraceRecord.parseDelimitedFrom(input));
        } catch (EOFException | com.google.protobuf.InvalidProtocolBufferException truncated) {
            return Optional.empty();
        }
    }

    @Override
    public void close() throws IOException {
        if (output != null) {
            output.close();
        }
        if (input != null) {
            input.close();
        }
    }
}
