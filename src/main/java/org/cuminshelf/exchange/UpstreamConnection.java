package org.cuminshelf.exchange;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.tinylog.Logger;

/**
 * A connection to an upstream, with one request at a time.
 *
 * <p>Failure it guards against: an upstream sends more than one answer, or one after its caller gave up, and the bytes
 * are taken for the answer to the next request. A connection is used again only if its last answer ended exactly where
 * its framing said, its request was written in full before, and nothing came while it was idle.
 */
final class UpstreamConnection extends AbstractConnection implements HttpParser.ResponseHandler {

    private static final int LARGEST_HEAD = 16 << 10;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final long UNKNOWN = -1;

    private final UpstreamConnections pool;
    private final UpstreamConnections.Key key;
    private final ReentrantLock lock;
    private final HttpParser parser = new HttpParser(this, LARGEST_HEAD, HttpCompliance.RFC9110);
    private final WriteQueue writes;
    private UpstreamHandler handler;
    private HttpFields.Mutable headers = HttpFields.build();
    private int status;
    private boolean persistent;
    private boolean complete;
    private boolean closed;
    /** Seconds for which the upstream keeps an idle connection, by its last answer. */
    private long keptSeconds = UNKNOWN;

    private long idleSince;

    private final Callback readCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);

    UpstreamConnection(UpstreamConnections pool, UpstreamConnections.Key key, EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
        this.pool = pool;
        this.key = key;
        this.lock = pool.lock();
        this.writes = new WriteQueue(endPoint, lock, failure -> fail("writing failed: " + failure.getMessage()));
    }

    UpstreamConnections.Key key() {
        return key;
    }

    long idleSince() {
        return idleSince;
    }

    /** Seconds for which an idle connection is kept there, or a negative number where that isn't known. */
    long keptSeconds() {
        return keptSeconds;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        lock.lock();
        try {
            pool.connected(this);
        } finally {
            lock.unlock();
        }
        if (!closed) {
            getEndPoint().tryFillInterested(readCallback);
        }
    }

    /** Sends a request. Only on a connection that is not in use. */
    void send(UpstreamRequest request, UpstreamHandler answers) {
        handler = answers;
        complete = false;
        parser.reset();
        parser.setHeadResponse("HEAD".equals(request.method()));
        writes.write(request.head(), ByteBuffer.wrap(request.body()));
    }

    /** Keeps a connection whose request was cancelled before it was sent. */
    void idle() {
        if (!closed) {
            idleSince = System.nanoTime();
            pool.released(this);
        }
    }

    /** Ends the connection if it still serves the request of a handler; by now it may serve another. */
    void dropIfServing(UpstreamHandler asking) {
        if (handler == asking) {
            drop();
        }
    }

    /** Has the connection reset when it is closed, so that nothing of it is delivered later. */
    void resetOnClose() {
        if (getEndPoint().getTransport() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException alreadyClosed) {
                Logger.debug(
                        "exchange: A connection was closed before it could be reset: {}.", alreadyClosed.getMessage());
            }
        }
    }

    /** Ends the connection without a word to the handler. */
    void drop() {
        handler = null;
        end();
    }

    private void onReadFailed(Throwable failure) {
        lock.lock();
        try {
            fail("the connection failed: " + failure.getMessage());
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void onFillable() {
        lock.lock();
        try {
            read();
        } catch (IOException e) {
            fail("reading failed: " + e.getMessage());
        } finally {
            lock.unlock();
        }
    }

    private void read() throws IOException {
        while (!closed) {
            ByteBuffer buffer = ReadBuffers.take();
            int count = ReadBuffers.read(getEndPoint(), buffer);
            if (count == 0) {
                fillInterested(readCallback);
                return;
            }
            if (handler == null) {
                // Closed by the upstream while idle, or bytes that belong to no request.
                end();
                return;
            }
            if (count < 0) {
                atEnd();
                return;
            }
            parse(buffer);
        }
    }

    private void parse(ByteBuffer buffer) {
        while (buffer.hasRemaining() && handler != null && !complete && !closed) {
            parser.parseNext(buffer);
        }
        if (complete && !closed) {
            finish(buffer.hasRemaining());
        }
    }

    private void atEnd() {
        parser.atEOF();
        parser.parseNext(BufferUtil.EMPTY_BUFFER);
        if (complete && !closed) {
            persistent = false;
            finish(false);
        } else {
            fail("the upstream closed the connection before its answer was whole");
        }
    }

    private void finish(boolean more) {
        UpstreamHandler answered = handler;
        handler = null;
        boolean reusable = persistent && !more && writes.isEmpty();
        if (reusable) {
            idleSince = System.nanoTime();
            pool.released(this);
        } else {
            end();
        }
        answered.onComplete();
    }

    private void fail(String reason) {
        UpstreamHandler failed = handler;
        handler = null;
        end();
        if (failed != null) {
            failed.onFailed(true, reason);
        }
    }

    private void end() {
        if (!closed) {
            closed = true;
            pool.ended(this);
            getEndPoint().close();
        }
    }

    // ---- the parser's events

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        headers = HttpFields.build();
        persistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
            persistent = false;
        }
        if (field.getHeader() == HttpHeader.KEEP_ALIVE) {
            keptSeconds = keepAliveSeconds(field.getValue());
        }
        headers.add(field);
    }

    private static long keepAliveSeconds(String value) {
        for (String part : value.split(",")) {
            String[] pair = part.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout")) {
                try {
                    return Long.parseLong(pair[1].trim());
                } catch (NumberFormatException e) {
                    // An unreadable promise is no promise: the connection is kept as if nothing had been said.
                    return UNKNOWN;
                }
            }
        }
        return UNKNOWN;
    }

    @Override
    public boolean headerComplete() {
        if (status >= FIRST_FINAL_STATUS && handler != null) {
            handler.onHead(status, headers.asImmutable());
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
        if (handler != null) {
            handler.onBody(bytes);
        }
        // Jetty's parser takes the content for consumed once this returns.
        return closed;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (status < FIRST_FINAL_STATUS) {
            parser.reset();
            return true;
        }
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        // Told by atEnd, which sees that the answer is not complete.
    }

    @Override
    public void badMessage(HttpException failure) {
        fail("the answer is malformed: " + failure.getReason());
    }
}
