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
 * A connection of a caller. It goes on reading while an answer is being made, which is how a caller that leaves is
 * noticed at once and its work can be stopped.
 *
 * <p>Failure it guards against: a request is smuggled behind another by framing that two parsers read differently.
 * Jetty's parser refuses both framings together, odd line ends and folded headers; the connection ends with its answer.
 */
final class CallerConnection extends AbstractConnection implements HttpParser.RequestHandler, CallerExchange {

    /** Milliseconds for which a connection that is being closed still reads, so that the close resets no answer. */
    private static final long LINGER_MILLIS = 1_000;

    private static final byte[] CHUNK_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int TYPICAL_HEAD = 512;

    private enum Phase {
        IDLE,
        READING,
        ANSWERING,
        LINGERING,
        CLOSED
    }

    private final CallerListener listener;
    private final ReentrantLock lock;
    private final HttpParser parser;
    private final WriteQueue writes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Phase phase = Phase.IDLE;
    private long since = System.nanoTime();
    private String method;
    private String target;
    private HttpFields.Mutable headers = HttpFields.build();
    private boolean closeAfter;
    private boolean expectsContinue;
    private boolean headersRead;
    private boolean begun;
    /** Whether the thread is inside {@link #read()}, which goes on by itself once an answer was given. */
    private boolean inRead;

    /** Bytes of a next request that came before the answer to this one was complete. */
    private ByteBuffer early;

    private final Callback readCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);

    CallerConnection(CallerListener listener, EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
        this.listener = listener;
        this.lock = listener.lock();
        this.parser = new HttpParser(this, listener.limits().maxHeaderBytes(), HttpCompliance.RFC9110);
        this.writes = new WriteQueue(endPoint, lock, failure -> onEnd());
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
            listener.opened(this);
        } finally {
            lock.unlock();
        }
        fillInterested(readCallback);
    }

    private void onReadFailed(Throwable failure) {
        lock.lock();
        try {
            onEnd();
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
            onEnd();
        } finally {
            lock.unlock();
        }
    }

    private void read() throws IOException {
        inRead = true;
        try {
            while (phase != Phase.CLOSED && early == null) {
                ByteBuffer buffer = ReadBuffers.take();
                int count = ReadBuffers.read(getEndPoint(), buffer);
                if (count < 0) {
                    onEnd();
                    return;
                }
                if (count == 0) {
                    fillInterested(readCallback);
                    return;
                }
                parse(buffer);
            }
        } finally {
            inRead = false;
        }
    }

    private void parse(ByteBuffer buffer) {
        while (buffer.hasRemaining() && (phase == Phase.IDLE || phase == Phase.READING)) {
            if (phase == Phase.IDLE) {
                phase = Phase.READING;
                since = System.nanoTime();
            }
            parser.parseNext(buffer);
        }
        if (buffer.hasRemaining() && phase == Phase.ANSWERING) {
            // The caller sent its next request early. It is kept, and reading stops until the answer is complete.
            early = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
        }
    }

    /** The connection ended, from whichever side. */
    private void onEnd() {
        if (phase == Phase.CLOSED) {
            return;
        }
        boolean waited = phase == Phase.ANSWERING;
        phase = Phase.CLOSED;
        listener.closed(this);
        getEndPoint().close();
        if (waited) {
            listener.handler().onDisconnect(this);
        }
    }

    /** Ends the connection where it is idle for too long or slow to send. Returns nothing; called now and then. */
    void sweep(long now) {
        CallerLimits limits = listener.limits();
        long millis = (now - since) / NANOS_PER_MILLI;
        switch (phase) {
            case IDLE -> {
                if (millis > limits.idleTimeoutMillis()) {
                    onEnd();
                }
            }
            case READING -> {
                if (!headersRead && millis > limits.headerTimeoutMillis()) {
                    refuse(HttpStatus.REQUEST_TIMEOUT_408, "The headers did not come in time.");
                } else if (millis > limits.headerTimeoutMillis() + limits.idleTimeoutMillis()) {
                    refuse(HttpStatus.REQUEST_TIMEOUT_408, "The body did not come in time.");
                }
            }
            case LINGERING -> {
                if (millis > LINGER_MILLIS) {
                    onEnd();
                }
            }
            case ANSWERING, CLOSED -> {
                // The core knows how long an answer may take.
            }
        }
    }

    /** Ends the connection if no request is on its way here as far as this side knows. */
    void closeIfIdle() {
        if (phase == Phase.IDLE) {
            onEnd();
        }
    }

    // ---- the parser's events

    @Override
    public void startRequest(String requestMethod, String uri, HttpVersion version) {
        method = requestMethod;
        target = uri;
        headers = HttpFields.build();
        body.reset();
        headersRead = false;
        expectsContinue = false;
        closeAfter = version != HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
            closeAfter = true;
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
            refuse(HttpStatus.PAYLOAD_TOO_LARGE_413, "The body is too large.");
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
            refuse(HttpStatus.PAYLOAD_TOO_LARGE_413, "The body is too large.");
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
        phase = Phase.ANSWERING;
        begun = false;
        ReceivedRequest request = new ReceivedRequest(method, target, headers.asImmutable(), body.toByteArray());
        body.reset();
        listener.handler().onRequest(request, this);
        return true;
    }

    @Override
    public void earlyEOF() {
        onEnd();
    }

    @Override
    public void badMessage(HttpException failure) {
        if (phase == Phase.READING) {
            refuse(failure.getCode(), "The request is malformed: " + failure.getReason());
        }
    }

    private void refuse(int status, String reason) {
        phase = Phase.ANSWERING;
        closeAfter = true;
        listener.refused(status, reason);
        respond(status, HttpFields.EMPTY, ByteBuffer.wrap((reason + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    // ---- the answer

    @Override
    public void respond(int status, HttpFields fields, ByteBuffer answerBody) {
        if (phase != Phase.ANSWERING) {
            return;
        }
        StringBuilder head = head(status, fields);
        if (status != HttpStatus.NO_CONTENT_204 && status != HttpStatus.NOT_MODIFIED_304) {
            head.append("Content-Length: ").append(answerBody.remaining()).append("\r\n");
        }
        boolean withoutBody = "HEAD".equals(method);
        writes.write(bytes(head), withoutBody ? ByteBuffer.allocate(0) : answerBody);
        answered();
    }

    @Override
    public void beginResponse(int status, HttpFields fields) {
        if (phase != Phase.ANSWERING) {
            return;
        }
        begun = true;
        writes.write(bytes(head(status, fields).append("Transfer-Encoding: chunked\r\n")));
    }

    @Override
    public void writePart(ByteBuffer bytes) {
        if (phase != Phase.ANSWERING || !begun || !bytes.hasRemaining()) {
            return;
        }
        byte[] size = (Integer.toHexString(bytes.remaining()) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer chunk = ByteBuffer.allocate(size.length + bytes.remaining() + CHUNK_END.length);
        chunk.put(size).put(bytes).put(CHUNK_END).flip();
        writes.write(chunk);
    }

    @Override
    public void endResponse() {
        if (phase == Phase.ANSWERING && begun) {
            writes.write(ByteBuffer.wrap(LAST_CHUNK));
            answered();
        }
    }

    @Override
    public void abort() {
        if (phase == Phase.ANSWERING) {
            phase = Phase.CLOSED;
            listener.closed(this);
            getEndPoint().close();
        }
    }

    private StringBuilder head(int status, HttpFields fields) {
        StringBuilder head = new StringBuilder(TYPICAL_HEAD);
        String reason = HttpStatus.getMessage(status);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason).append("\r\n");
        for (HttpField field : fields) {
            head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n");
        }
        closeAfter |= listener.isDraining();
        if (closeAfter) {
            head.append("Connection: close\r\n");
        }
        return head;
    }

    private static ByteBuffer bytes(StringBuilder head) {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private void answered() {
        since = System.nanoTime();
        if (closeAfter) {
            phase = Phase.LINGERING;
            early = null;
            writes.whenEmpty(() -> getEndPoint().shutdownOutput());
            readOn();
            return;
        }
        phase = Phase.IDLE;
        parser.reset();
        readOn();
    }

    private void resume() {
        lock.lock();
        try {
            ByteBuffer next = early;
            early = null;
            if (next != null) {
                parse(next);
            }
            read();
        } catch (IOException e) {
            onEnd();
        } finally {
            lock.unlock();
        }
    }

    /** Goes on reading, unless the caller of this is the reading itself. */
    private void readOn() {
        if (phase == Phase.CLOSED || inRead) {
            return;
        }
        if (early != null) {
            // Not from here: this is somewhere inside the core, which is not to be entered anew.
            getExecutor().execute(this::resume);
        } else if (!isFillInterested()) {
            getEndPoint().tryFillInterested(readCallback);
        }
    }
}
