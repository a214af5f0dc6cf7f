package org.cuminshelf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import org.tinylog.Logger;

/** A log device backed by a file, which is locked against other processes through a {@code .lock} file beside it. */
public final class FileLogDevice implements LogDevice {

    /** The JDK copies each transfer through a direct buffer of the same size, which it keeps for the thread. */
    private static final int MAX_TRANSFER_BYTES = 64 << 10;

    private final Path file;
    private FileChannel channel;
    private final FileChannel lockChannel;
    private final FileLock lock;

    private FileLogDevice(Path file, FileChannel lockChannel, FileLock lock) throws IOException {
        this.file = file;
        this.lockChannel = lockChannel;
        this.lock = lock;
        this.channel = openAtEnd(file);
    }

    /**
     * Opens and locks the file, after creating it and its folder if they don't exist.
     *
     * @param file the file
     * @return the device
     * @throws IOException if the file can't be opened, or is locked by another process or device
     */
    public static FileLogDevice open(Path file) throws IOException {
        Files.createDirectories(file.getParent());
        FileChannel lockChannel = FileChannel.open(
                file.resolveSibling(file.getFileName() + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = tryLock(lockChannel);
        if (lock == null) {
            lockChannel.close();
            throw new IOException(
                    file + ": another process uses this data folder; stop that process or configure another folder");
        }
        Files.deleteIfExists(replacementOf(file));
        FileLogDevice device = new FileLogDevice(file, lockChannel, lock);
        syncFolder(file.getParent());
        return device;
    }

    /** The file of a replacement; one that a crash left is never complete. */
    private static Path replacementOf(Path file) {
        return file.resolveSibling(file.getFileName() + ".new");
    }

    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException lockedInThisProcess) {
            return null;
        }
    }

    private static FileChannel openAtEnd(Path file) throws IOException {
        FileChannel openedChannel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        openedChannel.position(openedChannel.size());
        return openedChannel;
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel openedChannel = FileChannel.open(folder, StandardOpenOption.READ)) {
            openedChannel.force(true);
        }
    }

    @Override
    public long length() throws IOException {
        return channel.size();
    }

    @Override
    public void read(long position, ByteBuffer target) throws IOException {
        int end = target.limit();
        long next = position;
        int count = 0;
        while (target.position() < end && count >= 0) {
            target.limit(Math.min(end, target.position() + MAX_TRANSFER_BYTES));
            count = channel.read(target, next);
            next += count;
        }
        target.limit(end);
    }

    @Override
    public void append(byte[] bytes) throws IOException {
        writeFully(channel, bytes);
    }

    private static void writeFully(FileChannel target, byte[] bytes) throws IOException {
        for (int start = 0; start < bytes.length; start += MAX_TRANSFER_BYTES) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes, start, Math.min(MAX_TRANSFER_BYTES, bytes.length - start));
            while (buffer.hasRemaining()) {
                target.write(buffer);
            }
        }
    }

    @Override
    public void sync() throws IOException {
        channel.force(false);
    }

    @Override
    public void truncate(long length) throws IOException {
        channel.truncate(length);
        channel.position(length);
        channel.force(true);
    }

    @Override
    public Replacement startReplacement() throws IOException {
        return new FileReplacement();
    }

    @Override
    public void close() throws IOException {
        channel.close();
        lock.release();
        lockChannel.close();
    }

    /** A second file beside the first, renamed to it when it is committed. */
    private final class FileReplacement implements Replacement {

        private final Path newFile = replacementOf(file);
        private final FileChannel target = FileChannel.open(
                newFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        private boolean committed;

        private FileReplacement() throws IOException {}

        @Override
        public void append(byte[] bytes) throws IOException {
            writeFully(target, bytes);
        }

        @Override
        public void sync() throws IOException {
            target.force(true);
        }

        @Override
        public void commit() throws IOException {
            Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            committed = true;
            syncFolder(file.getParent());
            channel.close();
            channel = target;
        }

        @Override
        public void close() {
            if (committed) {
                return;
            }
            try {
                target.close();
                Files.deleteIfExists(newFile);
            } catch (IOException e) {
                Logger.warn("storage: Can't remove {}, which was not completed: {}.", newFile, e.getMessage());
            }
        }
    }
}
