package org.cuminshelf.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
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
import org.tinylog.Logger;

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

    /** Time after a response in which a caller that has its next request ready has sent it. */
    private static final long REUSE_MILLIS = 60;

    private static final String LOG = "exchange: ";
    private static final byte[] HANDLER_FAILED =
            "The request may have run: it could not be handled here.\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] CHUNK_TERMINATOR = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    /** Part of the idle limit for which callers are told to reuse a connection. */
    private static final int REUSE_PERCENT = 80;

    private static final int PERCENT = 100;
    private static final int INITIAL_HEAD_BYTES = 512;
    /** Bytes read ahead of the response before them at which reading pauses, so that a caller exhausts no memory. */
    private static final int MAX_EARLY_BYTES = 64 << 10;

    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);
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
    private final RequestAccounts accounts;
    private final SocketAddress callerAddress;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Phase phase = Phase.IDLE;
    private long phaseStartNanos = System.nanoTime();
    private String method;
    private String target;
    private HttpFields.Mutable headers = HttpFields.build();
    private boolean closeAfterResponse;
    /** Whether the caller knows chunks; if not, a response of unknown length ends with the connection. */
    private boolean knowsChunks;

    private boolean expectsContinue;
    private boolean headersRead;
    /** Whether a slow request was read on once, as bytes of it had come when it was judged. */
    private boolean gotMoreTime;

    private long receivedBytes;
    private boolean responseBegun;
    /** Whether the response is to a request that was read completely, not to one that was rejected before. */
    private boolean requestRead;

    private int responseStatus;
    /** Whether {@link #read()} is on the stack; its loop continues by itself after a response. */
    private boolean insideRead;

    /** A request that the parser completed and that the handler has not got yet; or null. */
    private ReceivedRequest receivedRequest;

    /** The remainder of the bytes that are being parsed. */
    private ByteBuffer unparsedBytes = NO_BYTES;

    /** Bytes of pipelined requests, received before the response to the current one was complete; or null. */
    private ByteBuffer earlyBytes;

    /** Whether the caller has closed or reset the connection, behind all bytes read so far. */
    private boolean endOfInput;

    /** Reads that are left in the present turn. */
    private int readsLeft;

    /** Whether {@link #read()} is on the stack and has found nothing more in the socket. */
    private boolean drained;

    /** The idle limit that the caller may count on: the one last told, or a higher one in force since. */
    private long idleLimitMillis;

    private final Callback readCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);

    CallerConnection(CallerListener listener, EndPoint endPoint, Executor executor) {
        super(endPoint, executor);
        this.listener = listener;
        this.lock = listener.lock();
        this.parser = new HttpParser(this, listener.limits().maxHeaderBytes(), HttpCompliance.RFC9110);
        this.idleLimitMillis = listener.limits().idleTimeoutMillis();
        this.callerAddress = endPoint.getRemoteSocketAddress();
        this.accounts = new RequestAccounts(listener.connectionLog());
        this.writes = new WriteQueue(endPoint, lock, this::onWriteFailed);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!listener.isAccepting()) {
            logClose(CloseReason.NOT_ACCEPTING);
            getEndPoint().close();
            return;
        }
        lock.lock();
        try {
            listener.register(this);
        } finally {
            lock.unlock();
        }
        awaitBytes();
    }

    /** Waits for bytes, unless it does already: several paths lead here, and Jetty throws at a second wait. */
    private void awaitBytes() {
        getEndPoint().tryFillInterested(readCallback);
    }

    /** The core may be on the stack and isn't reentrant, so the connection is closed in a task of its own. */
    private void onWriteFailed(Throwable failure) {
        executeLater(() -> onClosed(CloseReason.WRITE_FAILED));
    }

    private void executeLater(Step step) {
        try {
            getExecutor().execute(() -> runLocked(step));
        } catch (RejectedExecutionException e) {
            Logger.debug(LOG + "The process stops, a step of a connection is left out: {}.", e.getMessage());
        }
    }

    private void onReadFailed(Throwable failure) {
        runLocked(() -> onClosed(CloseReason.READ_FAILED));
    }

    @Override
    public void onFillable() {
        runLocked(this::read);
    }

    /** A step of the connection that reads from its socket. */
    private interface Step {
        void run() throws IOException;
    }

    /** Runs a step under the lock; a step that fails closes this connection and harms no other. */
    private void runLocked(Step step) {
        lock.lock();
        try {
            step.run();
        } catch (IOException e) {
            onClosed(CloseReason.READ_FAILED);
        } catch (RuntimeException failure) {
            Logger.error(failure, LOG + "event=connection-failed phase={}", phase);
            onClosed(CloseReason.EXCEPTION);
        } finally {
            lock.unlock();
        }
    }

    /** Handles all that was received so far: early bytes first, then those that wait in the socket. */
    private void read() throws IOException {
        if (insideRead) {
            return;
        }
        insideRead = true;
        drained = false;
        readsLeft = ReadTurns.MAX_READS_PER_TURN;
        try {
            while (phase != Phase.CLOSED && handleNextBytes()) {
                // Each pass handles what one read has brought.
            }
        } finally {
            insideRead = false;
        }
    }

    /** Handles the next bytes; returns false if there are none or if they have to wait. */
    private boolean handleNextBytes() throws IOException {
        if (phase == Phase.RESPONDING) {
            readAhead();
        } else if (earlyBytes != null) {
            parseEarlyBytes();
            return true;
        } else if (!drained && !endOfInput && readsLeft > 0) {
            readsLeft--;
            readAndParse();
            return true;
        }
        if (endOfInput) {
            onEndOfInput();
        } else if (drained) {
            awaitBytes();
        } else if (readsLeft == 0) {
            listener.readTurns().add(this::onFillable);
        }
        return false;
    }

    private void readAndParse() throws IOException {
        ByteBuffer buffer = ReadBuffers.clearedBuffer();
        if (read(buffer) > 0) {
            parse(buffer);
        }
    }

    /** Reads once, and notes what that tells of the connection. */
    private int read(ByteBuffer buffer) throws IOException {
        int count = ReadBuffers.read(getEndPoint(), buffer);
        endOfInput = count < 0;
        drained = count == 0;
        receivedBytes += Math.max(0, count);
        return count;
    }

    /**
     * Reads while a response is pending, up to the end of the connection: a close behind the bytes of a next request
     * ends the work on the current one.
     */
    private void readAhead() throws IOException {
        keepEarly(unparsedBytes);
        while (!drained && !endOfInput && (earlyBytes == null || earlyBytes.remaining() < MAX_EARLY_BYTES)) {
            ByteBuffer buffer = ReadBuffers.clearedAheadBuffer();
            if (read(buffer) > 0) {
                keepEarly(buffer);
            }
        }
    }

    /** Moves bytes behind the early ones. */
    private void keepEarly(ByteBuffer bytes) {
        if (!bytes.hasRemaining()) {
            return;
        }
        ByteBuffer before = earlyBytes == null ? NO_BYTES : earlyBytes;
        earlyBytes = ByteBuffer.allocate(before.remaining() + bytes.remaining())
                .put(before)
                .put(bytes)
                .flip();
    }

    @Override
    public boolean hasCallerLeft() {
        if (phase != Phase.RESPONDING) {
            return phase == Phase.CLOSED;
        }
        drained &= insideRead;
        try {
            readAhead();
        } catch (IOException reset) {
            Logger.debug(LOG + "The caller has reset its connection: {}.", reset.getMessage());
            endOfInput = true;
        }
        return endOfInput;
    }

    private void onEndOfInput() {
        if (phase == Phase.RESPONDING || writes.isEmpty()) {
            onClosed(CloseReason.CLOSED_BY_CALLER);
            return;
        }
        // A caller may close its side after its request and still read the response.
        phase = Phase.LINGERING;
        writes.whenEmpty(() -> onClosed(CloseReason.CLOSED_BY_CALLER));
    }

    private void parse(ByteBuffer buffer) {
        unparsedBytes = buffer;
        while (buffer.hasRemaining() && (phase == Phase.IDLE || phase == Phase.READING)) {
            if (phase == Phase.IDLE) {
                phase = Phase.READING;
                phaseStartNanos = System.nanoTime();
                headersRead = false;
                gotMoreTime = false;
            }
            parser.parseNext(buffer);
            handleReceivedRequest();
        }
        if (phase == Phase.RESPONDING) {
            keepEarly(buffer);
        }
        unparsedBytes = NO_BYTES;
    }

    /** Whether bytes of a next request have arrived, whole or in part, read or still in the socket. */
    private boolean hasNextRequest() {
        drained = false;
        hasCallerLeft();
        return earlyBytes != null;
    }

    /** Calls the handler outside of the parser, which would take its exceptions for a malformed request. */
    private void handleReceivedRequest() {
        if (receivedRequest == null) {
            return;
        }
        ReceivedRequest request = receivedRequest;
        receivedRequest = null;
        try {
            listener.handler().onRequest(request, this);
        } catch (RuntimeException failure) {
            onHandlerFailed(failure);
        }
    }

    /** Ends a request whose handler failed, in a way that promises nothing about it. */
    private void onHandlerFailed(RuntimeException failure) {
        Logger.error(failure, LOG + "event=handler-failed responding={}", phase == Phase.RESPONDING);
        if (phase != Phase.RESPONDING) {
            return;
        }
        if (responseBegun) {
            close(CloseReason.EXCEPTION);
        } else {
            closeAfterResponse = true;
            respond(HttpStatus.BAD_GATEWAY_502, HttpFields.EMPTY, ByteBuffer.wrap(HANDLER_FAILED));
        }
        notifyDisconnect();
    }

    private void notifyDisconnect() {
        try {
            listener.handler().onDisconnect(this);
        } catch (RuntimeException failure) {
            Logger.error(failure, LOG + "event=handler-failed on=disconnect");
        }
    }

    /** Handles the end of the connection, whichever side closed it. */
    private void onClosed(CloseReason reason) {
        if (phase == Phase.CLOSED) {
            return;
        }
        boolean wasResponding = phase == Phase.RESPONDING;
        close(reason);
        if (wasResponding) {
            notifyDisconnect();
        }
    }

    private void close(CloseReason reason) {
        logClose(reason);
        accounts.onClosed(reason);
        phase = Phase.CLOSED;
        listener.unregister(this);
        getEndPoint().close();
    }

    private void logClose(CloseReason reason) {
        long phaseMillis = (System.nanoTime() - phaseStartNanos) / NANOS_PER_MILLI;
        String caller = String.valueOf(callerAddress);
        listener.connectionLog().onClosed(reason, caller, phaseMillis, idleLimitMillis, accounts);
    }

    /** Closes the connection because the process stops. */
    void stop() {
        onClosed(CloseReason.PROCESS_STOPPED);
    }

    /** Closes the connection if it has been idle or lingering too long, or rejects a request that is too slow. */
    void checkTimeouts(long nowNanos, CallerLimits limits) {
        runLocked(() -> closeIfTooLong(nowNanos, limits));
    }

    private void closeIfTooLong(long nowNanos, CallerLimits limits) throws IOException {
        idleLimitMillis = Math.max(idleLimitMillis, limits.idleTimeoutMillis());
        switch (phase) {
            case IDLE -> {
                closeIfNotRead(nowNanos);
                closeIfIdleTooLong(nowNanos);
            }
            case READING -> rejectIfTooSlow(nowNanos, limits);
            case LINGERING -> {
                closeIfNotRead(nowNanos);
                if (writes.isEmpty() && millisSinceWritten(nowNanos) > LINGER_MILLIS) {
                    onClosed(CloseReason.LINGER_OVER);
                }
            }
            case RESPONDING, CLOSED -> {
                // The core enforces the limits on the time of a response.
            }
        }
    }

    private long phaseMillis(long nowNanos) {
        return (nowNanos - phaseStartNanos) / NANOS_PER_MILLI;
    }

    /** Time since the last response was written to the socket, not only queued. */
    private long millisSinceWritten(long nowNanos) {
        return Math.min(phaseMillis(nowNanos), millisSinceProgress(nowNanos));
    }

    private long millisSinceProgress(long nowNanos) {
        return (nowNanos - writes.lastProgressNanos()) / NANOS_PER_MILLI;
    }

    /** Closes the connection if bytes wait to be written and the caller has taken none for the idle limit. */
    private void closeIfNotRead(long nowNanos) {
        if (!writes.isEmpty() && millisSinceProgress(nowNanos) > idleLimitMillis) {
            onClosed(CloseReason.NOT_READ_BY_CALLER);
        }
    }

    private void closeIfIdleTooLong(long nowNanos) throws IOException {
        if (isIdleTooLong(nowNanos)) {
            // A request may wait in the socket, if this process stood still or the lock was held.
            read();
            if (isIdleTooLong(nowNanos)) {
                onClosed(CloseReason.IDLE_TIMEOUT);
            }
        }
    }

    private boolean isIdleTooLong(long nowNanos) {
        return isUnused() && millisSinceWritten(nowNanos) > idleLimitMillis;
    }

    private void rejectIfTooSlow(long nowNanos, CallerLimits limits) throws IOException {
        if (slowPart(nowNanos, limits).isEmpty()) {
            return;
        }
        // The remainder may wait in the socket, if this process stood still or the lock was held.
        long receivedBefore = receivedBytes;
        read();
        Optional<String> slowPart = slowPart(nowNanos, limits);
        if (slowPart.isEmpty()) {
            return;
        }
        if (receivedBytes > receivedBefore && !gotMoreTime) {
            // The caller's system sends the next bytes only now that there is room for them.
            gotMoreTime = true;
            return;
        }
        reject(HttpStatus.REQUEST_TIMEOUT_408, slowPart.get() + " did not come in time.");
    }

    /** The part of the request that took too long, if any. */
    private Optional<String> slowPart(long nowNanos, CallerLimits limits) {
        long phaseMillis = phaseMillis(nowNanos);
        if (phase != Phase.READING) {
            return Optional.empty();
        }
        if (!headersRead && phaseMillis > limits.headerTimeoutMillis()) {
            return Optional.of("The headers");
        }
        boolean bodyIsSlow = phaseMillis > limits.headerTimeoutMillis() + idleLimitMillis;
        return bodyIsSlow ? Optional.of("The body") : Optional.empty();
    }

    /** Whether the last response was written and no byte of a next request was read. */
    private boolean isUnused() {
        return phase == Phase.IDLE && writes.isEmpty();
    }

    /**
     * Closes the connection if its last response was written a moment ago and no byte of a next request has arrived.
     * Many callers send the next request right away, and it would meet the close.
     */
    void closeIfIdle() {
        runLocked(() -> {
            if (!isUnused() || millisSinceWritten(System.nanoTime()) < REUSE_MILLIS) {
                return;
            }
            read();
            if (isUnused()) {
                onClosed(CloseReason.DRAIN);
            }
        });
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
        requestRead = false;
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
        knowsChunks = version == HttpVersion.HTTP_1_1;
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
        requestRead = true;
        accounts.onRequestRead();
        receivedRequest = new ReceivedRequest(
                method, target, headers.asImmutable(), body.toByteArray(), System.nanoTime() - phaseStartNanos);
        body.reset();
        return true;
    }

    @Override
    public void earlyEOF() {
        onClosed(CloseReason.MALFORMED_BODY);
    }

    @Override
    public void badMessage(HttpException failure) {
        if (phase == Phase.READING) {
            reject(failure.getCode(), "The request is malformed: " + failure.getReason());
        }
    }

    private void reject(int status, String reason) {
        phase = Phase.RESPONDING;
        requestRead = false;
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
        StringBuilder head = responseHead(status, fields);
        if (knowsChunks) {
            head.append("Transfer-Encoding: chunked\r\n");
        } else {
            // The response ends with the connection, so that only a reset tells an aborted one from a whole one.
            CloseBehaviour.reset(getEndPoint());
        }
        writes.write(encodeHead(head));
    }

    @Override
    public void writePart(ByteBuffer bytes) {
        if (phase != Phase.RESPONDING || !responseBegun || !bytes.hasRemaining()) {
            return;
        }
        if (!knowsChunks) {
            writes.write(copy(bytes));
            return;
        }
        byte[] size = (Integer.toHexString(bytes.remaining()) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer chunk = ByteBuffer.allocate(size.length + bytes.remaining() + CHUNK_TERMINATOR.length);
        chunk.put(size).put(bytes).put(CHUNK_TERMINATOR).flip();
        writes.write(chunk);
    }

    @Override
    public void endResponse() {
        if (phase != Phase.RESPONDING || !responseBegun) {
            return;
        }
        if (knowsChunks) {
            writes.write(ByteBuffer.wrap(LAST_CHUNK));
        } else {
            writes.whenEmpty(() -> CloseBehaviour.orderly(getEndPoint()));
        }
        onResponseWritten();
    }

    private static ByteBuffer copy(ByteBuffer bytes) {
        return ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
    }

    @Override
    public void abort() {
        if (phase == Phase.RESPONDING) {
            phase = Phase.LINGERING;
            earlyBytes = null;
            // The responses before this one may not be written yet.
            writes.whenEmpty(() -> onClosed(CloseReason.ABORTED));
            resumeReading();
        }
    }

    private StringBuilder responseHead(int status, HttpFields fields) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_BYTES);
        String reason = HttpStatus.getMessage(status);
        responseStatus = status;
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason).append("\r\n");
        for (HttpField field : fields) {
            head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n");
        }
        if (listener.isDraining() && !closeAfterResponse) {
            closeAfterResponse = !hasNextRequest();
        }
        idleLimitMillis = listener.limits().idleTimeoutMillis();
        if (closeAfterResponse) {
            head.append("Connection: close\r\n");
        } else {
            appendKeepAlive(head);
        }
        return head;
    }

    /** Tells the caller how long it may reuse the connection, less than it is kept, so that both never meet. */
    private void appendKeepAlive(StringBuilder head) {
        long seconds = idleLimitMillis * REUSE_PERCENT / PERCENT / MILLIS_PER_SECOND;
        if (seconds > 0) {
            head.append("Connection: keep-alive\r\nKeep-Alive: timeout=")
                    .append(seconds)
                    .append("\r\n");
        }
    }

    private static ByteBuffer encodeHead(StringBuilder head) {
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private void onResponseWritten() {
        phaseStartNanos = System.nanoTime();
        if (requestRead) {
            RequestEnd end = RequestEnd.ofStatus(responseStatus);
            writes.whenEmpty(() -> accounts.onResponseSent(end));
        }
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
        ByteBuffer next = earlyBytes;
        earlyBytes = null;
        parse(next);
    }

    /** Resumes reading after a response, unless {@link #read()} is on the stack and continues by itself. */
    private void resumeReading() {
        if (phase == Phase.CLOSED || insideRead) {
            return;
        }
        if (earlyBytes != null) {
            // The core may be on the stack and isn't reentrant, so the early request is parsed in a task of its own.
            executeLater(this::read);
        } else {
            awaitBytes();
        }
    }
}
