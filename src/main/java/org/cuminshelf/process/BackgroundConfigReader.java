package org.cuminshelf.process;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminshelf.direct.RouteTableReader;
import org.cuminshelf.routes.RouteTable;
import org.tinylog.Logger;

/**
 * Parses configurations on a thread of its own, and reports each result under the lock of the core.
 *
 * <p>Guards against an entry that fetches no configuration any more because one made the parser fail: each read reports
 * a result, so the next version can be fetched.
 */
final class BackgroundConfigReader implements RouteTableReader, AutoCloseable {

    private static final String LOG = "entry: ";

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
        executor.execute(() -> report(parse(deflated), onRead));
    }

    private Optional<RouteTable> parse(byte[] deflated) {
        try {
            return RouteTableReader.parse(deflated, parser);
        } catch (RuntimeException | StackOverflowError e) {
            Logger.error(e, LOG + "event=config state=unreadable reason=\"the parser failed\"");
            return Optional.empty();
        }
    }

    private void report(Optional<RouteTable> routes, Consumer<Optional<RouteTable>> onRead) {
        lock.lock();
        try {
            onRead.accept(routes);
            afterRead.run();
        } catch (RuntimeException | StackOverflowError e) {
            Logger.error(e, LOG + "event=core-failure part=config");
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
