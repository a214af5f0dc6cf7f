package org.cuminshelf.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
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

/**
 * A connection to an upstream that carries one request at a time.
 *
 * <p>Guards against attributing a response to the wrong request, if an upstream sends a second response, or one after
 * the request was cancelled. A connection is reused only if the bytes of its last response ended where its framing
 * said, its request had been written completely, and nothing was received while it was idle.
 */
final class UpstreamConnection extends AbstractConnection implements HttpParser.ResponseHandler {

    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MIN_FINAL_STATUS = 200;
    /** Limit on interim responses before the final one, of which upstreams send one or two. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long UNKNOWN = -1;

    private final UpstreamConnections pool;
    private final UpstreamConnections.ConnectionKey key;
    private final ReentrantLock lock;
    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC9110);
    private final WriteQueue writes;
    private UpstreamHandler handler;
    private HttpFields.Mutable headers = HttpFields.build();
    private int status;
    private boolean persistent;
    private boolean responseComplete;
    /** Whether the response states the length of a body that it does not have. */
    private boolean headRequest;

    private int interimResponses;
    private long bodyBytes;
    private long sentAtNanos;
    private boolean closed;
    /** Idle timeout that the upstream announced in its last {@code Keep-Alive} header. */
    private long keepAliveSeconds = UNKNOWN;

    private long idleSinceNanos;

    private final Callback readCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);

    UpstreamConnection(
            UpstreamConnections pool, UpstreamConnections.ConnectionKey key, EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
        this.pool = pool;
        this.key = key;
        this.lock = pool.lock();
        this.writes = new WriteQueue(endPoint, lock, failure -> fail("writing failed: " + failure.getMessage()));
    }

    UpstreamConnections.ConnectionKey key() {
        return key;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Returns the idle timeout that the upstream announced, or a negative number if it announced none. */
    long keepAliveSeconds() {
        return keepAliveSeconds;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        lock.lock();
        try {
            pool.onConnected(this);
        } finally {
            lock.unlock();
        }
        if (!closed) {
            getEndPoint().tryFillInterested(readCallback);
        }
    }

    /** Sends a request; the connection must be idle or new. */
    void send(UpstreamRequest request, UpstreamHandler responseHandler) {
        handler = responseHandler;
        responseComplete = false;
        interimResponses = 0;
        bodyBytes = 0;
        sentAtNanos = System.nanoTime();
        parser.reset();
        headRequest = "HEAD".equals(request.method());
        parser.setHeadResponse(headRequest);
        writes.write(request.head(), ByteBuffer.wrap(request.body()));
    }

    /** Adds a new connection on which no request was sent to the idle ones. */
    void returnUnused() {
        if (!closed) {
            idleSinceNanos = System.nanoTime();
            pool.onIdle(this);
        }
    }

    /** Closes the connection if it still serves the request of a handler; it may serve another one already. */
    void closeIfServing(UpstreamHandler requestHandler) {
        if (handler == requestHandler) {
            closeQuietly();
        }
    }

    /** Fails the request in progress if its response takes too long; the handler says how long it may. */
    void failIfOverdue(long nowNanos) {
        if (handler != null && (nowNanos - sentAtNanos) / NANOS_PER_MILLI > handler.timeoutMillis()) {
            fail("the answer was not whole in time");
        }
    }

    /** Makes the close a reset, which discards the bytes in the send buffer instead of delivering them later. */
    void resetOnClose() {
        CloseBehaviour.reset(getEndPoint());
    }

    /** Closes the connection without notifying the handler. */
    void closeQuietly() {
        handler = null;
        closeConnection();
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

    /**
     * Handles what has arrived. An upstream that sends without end never leaves the socket empty, so that after some
     * reads the lock is released for a moment.
     */
    private void read() throws IOException {
        for (int reads = 0; reads < ReadTurns.MAX_READS_PER_TURN; reads++) {
            if (closed || !readOnce()) {
                return;
            }
        }
        if (!closed) {
            pool.readTurns().add(this::onFillable);
        }
    }

    /** Handles what one read brings; returns false if nothing more is there. */
    private boolean readOnce() throws IOException {
        ByteBuffer buffer = ReadBuffers.clearedBuffer();
        int count = ReadBuffers.read(getEndPoint(), buffer);
        if (count == 0) {
            fillInterested(readCallback);
            return false;
        }
        if (handler == null) {
            // The upstream closed the idle connection, or sent bytes that belong to no request.
            closeConnection();
            return false;
        }
        if (count < 0) {
            onOrderlyClose();
            return false;
        }
        parse(buffer);
        return true;
    }

    private void parse(ByteBuffer buffer) {
        while (buffer.hasRemaining() && handler != null && !responseComplete && !closed) {
            parser.parseNext(buffer);
        }
        if (responseComplete && !closed) {
            onResponseComplete(buffer.hasRemaining());
        }
    }

    private void onOrderlyClose() {
        parser.atEOF();
        parser.parseNext(BufferUtil.EMPTY_BUFFER);
        if (responseComplete && !closed) {
            persistent = false;
            onResponseComplete(false);
        } else {
            fail("the upstream closed the connection before its answer was whole");
        }
    }

    private void onResponseComplete(boolean bytesFollow) {
        UpstreamHandler completedHandler = handler;
        handler = null;
        boolean reusable = persistent && !bytesFollow && writes.isEmpty();
        if (reusable) {
            idleSinceNanos = System.nanoTime();
            pool.onIdle(this);
        } else {
            closeConnection();
        }
        completedHandler.onComplete();
    }

    private void fail(String reason) {
        UpstreamHandler failedHandler = handler;
        handler = null;
        closeConnection();
        if (failedHandler != null) {
            failedHandler.onFailed(true, reason);
        }
    }

    private void closeConnection() {
        if (!closed) {
            closed = true;
            pool.onClosed(this);
            getEndPoint().close();
        }
    }

    // ---- events of the parser

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
            keepAliveSeconds = parseKeepAliveSeconds(field.getValue());
        }
        headers.add(field);
    }

    private static long parseKeepAliveSeconds(String value) {
        for (String part : value.split(",")) {
            String[] pair = part.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout")) {
                try {
                    return Long.parseLong(pair[1].trim());
                } catch (NumberFormatException e) {
                    // A malformed value counts as none: the connection is kept for the default time.
                    return UNKNOWN;
                }
            }
        }
        return UNKNOWN;
    }

    @Override
    public boolean headerComplete() {
        if (handler == null || status < MIN_FINAL_STATUS) {
            return false;
        }
        if (!headRequest && parser.getContentLength() > handler.maxBodyBytes()) {
            fail("the answer is too large");
            return true;
        }
        handler.onHead(status, headers.asImmutable());
        return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
        bodyBytes += bytes.remaining();
        if (handler != null && bodyBytes > handler.maxBodyBytes()) {
            fail("the answer is too large");
        }
        if (handler != null) {
            handler.onBody(bytes);
        }
        // Jetty's parser considers the content consumed when this method returns.
        return closed;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (status < MIN_FINAL_STATUS) {
            parser.reset();
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                fail("too many interim responses");
            }
            return true;
        }
        responseComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        // Handled by onOrderlyClose, which finds that the response is not complete.
    }

    @Override
    public void badMessage(HttpException failure) {
        fail("the answer is malformed: " + failure.getReason());
    }
}
