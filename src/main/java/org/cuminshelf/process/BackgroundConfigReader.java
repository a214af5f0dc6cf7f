package org.cuminshelf.process;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminshelf.direct.RouteTableReader;
import org.cuminshelf.routes.RouteTable;

/** Parses configurations on a thread of its own, and reports each result under the lock of the core. */
final class BackgroundConfigReader implements RouteTableReader, AutoCloseable {

    private final ReentrantLock lock;
    private final Function<byte[], Optional<RouteTable>> parser;
    private final Runnable afterRead;
    private final ExecutorService executor = Executors.newSingleThreadExecutor(
            Thread.ofPlatform().daemon().name("config").factory());

    /**
     * Creates a reader.
     *
     * @param lock      lock that is held while a result is reported
     * @param parser    parses an inflated document
     * @param afterRead called under the lock after each result
     */
    BackgroundConfigReader(ReentrantLock lock, Function<byte[], Optional<RouteTable>> parser, Runnable afterRead) {
        this.lock = lock;
        this.parser = parser;
        this.afterRead = afterRead;
    }

    @Override
    public void read(byte[] deflated, Consumer<Optional<RouteTable>> onRead) {
        executor.execute(() -> report(RouteTableReader.parse(deflated, parser), onRead));
    }

    private void report(Optional<RouteTable> routes, Consumer<Optional<RouteTable>> onRead) {
        lock.lock();
        try {
            onRead.accept(routes);
            afterRead.run();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
