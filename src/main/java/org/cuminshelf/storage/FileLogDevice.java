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

/** A log device backed by a file, which is locked against other processes through a {@code .lock} file beside it. */
public final class FileLogDevice implements LogDevice {

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
        FileLogDevice device = new FileLogDevice(file, lockChannel, lock);
        syncFolder(file.getParent());
        return device;
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
    public byte[] read() throws IOException {
        return Files.readAllBytes(file);
    }

    @Override
    public void append(byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
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
    public void replace(byte[] content) throws IOException {
        Path replacement = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel target = FileChannel.open(
                replacement,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(content);
            while (buffer.hasRemaining()) {
                target.write(buffer);
            }
            target.force(true);
        }
        channel.close();
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder(file.getParent());
        channel = openAtEnd(file);
    }

    @Override
    public void close() throws IOException {
        channel.close();
        lock.release();
        lockChannel.close();
    }
}
