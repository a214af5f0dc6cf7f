package org.cuminshelf.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A log device in memory that can fail: after a number of bytes the power is lost, or the disk is full. What was not
 * synced before a loss of power is kept up to the byte at which the power was lost.
 */
public final class MemoryLogDevice implements LogDevice {

    /** Thrown where the power is lost. */
    public static final class PowerLostException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private byte[] content = new byte[0];
    private int length;
    private long bytesUntilPowerLoss = Long.MAX_VALUE;
    private long freeReplacementBytes = Long.MAX_VALUE;
    private long peakBytes;
    private int largestRead;

    /** Lets the power be lost once this many more bytes are written. */
    public void losePowerAfter(long bytes) {
        bytesUntilPowerLoss = bytes;
    }

    /** Bounds the size of new content that replaces the old one. */
    public void limitReplacement(long bytes) {
        freeReplacementBytes = bytes;
    }

    /** The power is back. */
    public void restorePower() {
        bytesUntilPowerLoss = Long.MAX_VALUE;
    }

    /** The largest size that the content and its replacement have had together since this was last called. */
    public long takePeakBytes() {
        long peak = peakBytes;
        peakBytes = length;
        return peak;
    }

    /** The largest number of bytes read by one call. */
    int largestRead() {
        return largestRead;
    }

    @Override
    public long length() {
        return length;
    }

    @Override
    public void read(long position, ByteBuffer target) {
        largestRead = Math.max(largestRead, target.remaining());
        target.put(content, (int) position, (int) Math.min(target.remaining(), length - position));
    }

    @Override
    public void append(byte[] bytes) throws IOException {
        int written = spend(bytes.length);
        if (length + written > content.length) {
            content = Arrays.copyOf(content, Math.max(2 * content.length, length + written));
        }
        System.arraycopy(bytes, 0, content, length, written);
        length += written;
        peakBytes = Math.max(peakBytes, length);
        if (written < bytes.length) {
            throw new PowerLostException();
        }
    }

    private int spend(int bytes) {
        int spent = (int) Math.min(bytes, bytesUntilPowerLoss);
        bytesUntilPowerLoss -= spent;
        return spent;
    }

    @Override
    public void sync() throws IOException {
        if (bytesUntilPowerLoss == 0) {
            throw new PowerLostException();
        }
    }

    @Override
    public void truncate(long newLength) {
        length = (int) newLength;
    }

    @Override
    public Replacement startReplacement() {
        return new MemoryReplacement();
    }

    @Override
    public void close() {
        // Nothing is held.
    }

    /** New content, which a loss of power discards. */
    private final class MemoryReplacement implements Replacement {

        private final ByteArrayOutputStream fresh = new ByteArrayOutputStream();

        @Override
        public void append(byte[] bytes) throws IOException {
            if (fresh.size() + bytes.length > freeReplacementBytes) {
                throw new IOException("No space left on device");
            }
            if (spend(bytes.length) < bytes.length) {
                throw new PowerLostException();
            }
            fresh.writeBytes(bytes);
            peakBytes = Math.max(peakBytes, length + fresh.size());
        }

        @Override
        public void sync() throws IOException {
            MemoryLogDevice.this.sync();
        }

        @Override
        public void commit() {
            content = fresh.toByteArray();
            length = content.length;
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
