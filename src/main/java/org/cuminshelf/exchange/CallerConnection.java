package org.cuminshelf.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * The server side of a caller's HTTP/1.1 connection. It keeps reading while a response is pending, so that a disconnect
 * of the caller is detected at once and the work for it can be cancelled.
 *
 * <p>Guards against request smuggling, where two parsers interpret the framing of a request differently. Jetty's parser
 * rejects requests with both kinds of framing, irregular line ends or folded headers, and the connection is closed
 * after the error response.
 */
final class CallerConnection extends AbstractConnection implements HttpParser.RequestHandler, CallerExchange {

    /** How long a half-closed connection still reads: closing it with unread input would reset an unread response. */
    private static final long LINGER_MILLIS = 1_000;

    private static final byte[] CHUNK_TERMINATOR = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int INITIAL_HEAD_BYTES = 512;
    private static final String STOPPING_REASON = "The request did not run: this process stops.";
    private static final String STOPPING_RETRY_AFTER_SECONDS = "0.2";

    private enum Phase {
        IDLE,
        READING,
        RESPONDING,
        LINGERING,
        CLOSED
    }

    private final CallerListener listener;
    private final ReentrantLock lock;
    private final HttpParser parser;
    private final WriteQueue writes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Phase phase = Phase.IDLE;
    private long phaseStartNanos = System.nanoTime();
    private String method;
    private String target;
    private HttpFields.Mutable headers = HttpFields.build();
    private boolean closeAfterResponse;
    private boolean expectsContinue;
    private boolean headersRead;
    private boolean responseBegun;
    /** Whether {@link #read()} is on the stack; its loop continues by itself after a response. */
    private boolean insideRead;

    /** Bytes of a pipelined request, received before the response to the current one was complete; or null. */
    private ByteBuffer earlyBytes;

    private final Callback readCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);

    CallerConnection(CallerListener listener, EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
        this.listener = listener;
        this.lock = listener.lock();
        this.parser = new HttpParser(this, listener.limits().maxHeaderBytes(), HttpCompliance.RFC9110);
        this.writes = new WriteQueue(endPoint, lock, failure -> onClosed());
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!listener.isAccepting()) {
            getEndPoint().close();
            return;
        }
        lock.lock();
        try {
            listener.register(this);
        } finally {
            lock.unlock();
        }
        fillInterested(readCallback);
    }

    private void onReadFailed(Throwable failure) {
        lock.lock();
        try {
            onClosed();
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
            onClosed();
        } finally {
            lock.unlock();
        }
    }

    private void read() throws IOException {
        insideRead = true;
        try {
            while (phase != Phase.CLOSED && earlyBytes == null) {
                ByteBuffer buffer = ReadBuffers.clearedBuffer();
                int count = ReadBuffers.read(getEndPoint(), buffer);
                if (count < 0) {
                    onClosed();
                    return;
                }
                if (count == 0) {
                    fillInterested(readCallback);
                    return;
                }
                parse(buffer);
            }
        } finally {
            insideRead = false;
        }
    }

    private void parse(ByteBuffer buffer) {
        while (buffer.hasRemaining() && (phase == Phase.IDLE || phase == Phase.READING)) {
            if (phase == Phase.IDLE) {
                phase = Phase.READING;
                phaseStartNanos = System.nanoTime();
            }
            parser.parseNext(buffer);
        }
        if (buffer.hasRemaining() && phase == Phase.RESPONDING) {
            // A pipelined request. Its bytes are kept, and reading pauses until the current response is complete.
            earlyBytes = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
        }
    }

    /** Handles the end of the connection, whichever side closed it. */
    private void onClosed() {
        if (phase == Phase.CLOSED) {
            return;
        }
        boolean wasResponding = phase == Phase.RESPONDING;
        phase = Phase.CLOSED;
        listener.unregister(this);
        getEndPoint().close();
        if (wasResponding) {
            listener.handler().onDisconnect(this);
        }
    }

    /** Closes the connection if it has been idle or lingering too long, or rejects a request that is too slow. */
    void checkTimeouts(long nowNanos) {
        CallerLimits limits = listener.limits();
        long phaseMillis = (nowNanos - phaseStartNanos) / NANOS_PER_MILLI;
        switch (phase) {
            case IDLE -> {
                if (phaseMillis > limits.idleTimeoutMillis()) {
                    onClosed();
                }
            }
            case READING -> {
                if (!headersRead && phaseMillis > limits.headerTimeoutMillis()) {
                    reject(HttpStatus.REQUEST_TIMEOUT_408, "The headers did not come in time.");
                } else if (phaseMillis > limits.headerTimeoutMillis() + limits.idleTimeoutMillis()) {
                    reject(HttpStatus.REQUEST_TIMEOUT_408, "The body did not come in time.");
                }
            }
            case LINGERING -> {
                if (phaseMillis > LINGER_MILLIS) {
                    onClosed();
                }
            }
            case RESPONDING, CLOSED -> {
                // The core enforces the limits on the time of a response.
            }
        }
    }

    /** Closes the connection if its responses are written and no byte of a next request has been received. */
    void closeIfIdle() {
        if (phase == Phase.IDLE && writes.isEmpty()) {
            onClosed();
        }
    }

    /** Whether a request is not read completely, or a response may not have reached the caller completely. */
    boolean isUnfinished() {
        return phase != Phase.IDLE || !writes.isEmpty();
    }

    /** Refuses a request that is not read completely, because the process stops. */
    void refuseIfReading() {
        if (phase != Phase.READING) {
            return;
        }
        phase = Phase.RESPONDING;
        closeAfterResponse = true;
        listener.logRejected(HttpStatus.SERVICE_UNAVAILABLE_503, STOPPING_REASON);
        respond(
                HttpStatus.SERVICE_UNAVAILABLE_503,
                HttpFields.build().put(HttpHeader.RETRY_AFTER, STOPPING_RETRY_AFTER_SECONDS),
                ByteBuffer.wrap(STOPPING_REASON.getBytes(StandardCharsets.UTF_8)));
    }

    // ---- events of the parser

    @Override
    public void startRequest(String requestMethod, String uri, HttpVersion version) {
        method = requestMethod;
        target = uri;
        headers = HttpFields.build();
        body.reset();
        headersRead = false;
        expectsContinue = false;
        closeAfterResponse = version != HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
            closeAfterResponse = true;
        }
        if (field.getHeader() == HttpHeader.EXPECT && field.contains("100-continue")) {
            expectsContinue = true;
        }
        headers.add(field);
    }

    @Override
    public boolean headerComplete() {
        headersRead = true;
        if (parser.getContentLength() > listener.limits().maxBodyBytes()) {
            reject(HttpStatus.PAYLOAD_TOO_LARGE_413, "The body is too large.");
            return true;
        }
        if (expectsContinue) {
            writes.write(ByteBuffer.wrap(CONTINUE));
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        body.write(copy, 0, copy.length);
        if (body.size() > listener.limits().maxBodyBytes()) {
            reject(HttpStatus.PAYLOAD_TOO_LARGE_413, "The body is too large.");
            return true;
        }
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (phase != Phase.READING) {
            return true;
        }
        phase = Phase.RESPONDING;
        responseBegun = false;
        ReceivedRequest request = new ReceivedRequest(method, target, headers.asImmutable(), body.toByteArray());
        body.reset();
        listener.handler().onRequest(request, this);
        return true;
    }

    @Override
    public void earlyEOF() {
        onClosed();
    }

    @Override
    public void badMessage(HttpException failure) {
        if (phase == Phase.READING) {
            reject(failure.getCode(), "The request is malformed: " + failure.getReason());
        }
    }

    private void reject(int status, String reason) {
        phase = Phase.RESPONDING;
        closeAfterResponse = true;
        listener.logRejected(status, reason);
        respond(status, HttpFields.EMPTY, ByteBuffer.wrap((reason + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    // ---- response

    @Override
    public void respond(int status, HttpFields fields, ByteBuffer responseBody) {
        if (phase != Phase.RESPONDING) {
            return;
        }
        StringBuilder head = responseHead(status, fields);
        if (status != HttpStatus.NO_CONTENT_204 && status != HttpStatus.NOT_MODIFIED_304) {
            head.append("Content-Length: ").append(responseBody.remaining()).append("\r\n");
        }
        boolean withoutBody = "HEAD".equals(method);
        writes.write(encodeHead(head), withoutBody ? ByteBuffer.allocate(0) : responseBody);
        onResponseWritten();
    }

    @Override
    public void beginResponse(int status, HttpFields fields) {
        if (phase != Phase.RESPONDING) {
            return;
        }
        responseBegun = true;
        writes.write(encodeHead(responseHead(status, fields).append("Transfer-Encoding: chunked\r\n")));
    }

    @Override
    public void writePart(ByteBuffer bytes) {
        if (phase != Phase.RESPONDING || !responseBegun || !bytes.hasRemaining()) {
            return;
        }
        byte[] size = (Integer.toHexString(bytes.remaining()) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer chunk = ByteBuffer.allocate(size.length + bytes.remaining() + CHUNK_TERMINATOR.length);
        chunk.put(size).put(bytes).put(CHUNK_TERMINATOR).flip();
        writes.write(chunk);
    }

    @Override
    public void endResponse() {
        if (phase == Phase.RESPONDING && responseBegun) {
            writes.write(ByteBuffer.wrap(LAST_CHUNK));
            onResponseWritten();
        }
    }

    @Override
    public void abort() {
        if (phase == Phase.RESPONDING) {
            phase = Phase.CLOSED;
            listener.unregister(this);
            getEndPoint().close();
        }
    }

    private StringBuilder responseHead(int status, HttpFields fields) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_BYTES);
        String reason = HttpStatus.getMessage(status);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason).append("\r\n");
        for (HttpField field : fields) {
            head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n");
        }
        closeAfterResponse |= listener.isDraining();
        if (closeAfterResponse) {
            head.append("Connection: close\r\n");
        }
        return head;
    }

    private static ByteBuffer encodeHead(StringBuilder head) {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private void onResponseWritten() {
        phaseStartNanos = System.nanoTime();
        if (closeAfterResponse) {
            phase = Phase.LINGERING;
            earlyBytes = null;
            writes.whenEmpty(() -> getEndPoint().shutdownOutput());
            resumeReading();
            return;
        }
        phase = Phase.IDLE;
        parser.reset();
        resumeReading();
    }

    private void parseEarlyBytes() {
        lock.lock();
        try {
            ByteBuffer next = earlyBytes;
            earlyBytes = null;
            if (next != null) {
                parse(next);
            }
            read();
        } catch (IOException e) {
            onClosed();
        } finally {
            lock.unlock();
        }
    }

    /** Resumes reading after a response, unless {@link #read()} is on the stack and continues by itself. */
    private void resumeReading() {
        if (phase == Phase.CLOSED || insideRead) {
            return;
        }
        if (earlyBytes != null) {
            // The core may be on the stack and isn't reentrant, so the early request is parsed in a task of its own.
            getExecutor().execute(this::parseEarlyBytes);
        } else if (!isFillInterested()) {
            getEndPoint().tryFillInterested(readCallback);
        }
    }
}
