package org.cuminshelf.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller's connection that is kept and used again, unless its other end was seen to close it. */
final class KeptConnection implements AutoCloseable {

    /** What came of one request. */
    enum Outcome {
        ANSWERED,
        REFUSED,
        /** 502 or 504. */
        GATEWAY_ERROR,
        /** Sent as a whole, and the connection ended without a whole response. */
        LOST
    }

    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final int BUFFER_BYTES = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final int port;
    private SocketChannel channel;
    private long idleSinceNanos;

    KeptConnection(int port) {
        this.port = port;
    }

    /**
     * Sends a request and waits for the response.
     *
     * @param requestLine   the method and path
     * @param id            the request's id
     * @param maxIdleMillis time without a request after which a new connection is opened, as if the old one is closed
     */
    Outcome send(String requestLine, String id, long maxIdleMillis) throws IOException {
        String request = requestLine + " HTTP/1.1\r\nHost: h\r\n" + PlatformHeaders.REQUEST_ID + ": " + id
                + "\r\nContent-Length: 0\r\n\r\n";
        byte[] bytes = request.getBytes(StandardCharsets.UTF_8);
        if (channel != null && (idleMillis() > maxIdleMillis || isClosedByPeer())) {
            close();
        }
        if (channel == null || !isSent(bytes)) {
            close();
            channel = SocketChannel.open(new InetSocketAddress(LoopbackPlatform.HOST, port));
            channel.write(ByteBuffer.wrap(bytes));
        }
        try {
            return outcome(readResponse());
        } catch (IOException e) {
            close();
            return Outcome.LOST;
        }
    }

    private long idleMillis() {
        return (System.nanoTime() - idleSinceNanos) / NANOS_PER_MILLI;
    }

    /** Whether a kept connection took a request; one that was closed in the meantime takes nothing. */
    private boolean isSent(byte[] bytes) {
        try {
            return channel.write(ByteBuffer.wrap(bytes)) == bytes.length;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean isClosedByPeer() {
        try {
            channel.configureBlocking(false);
            int read = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return read != 0;
        } catch (IOException e) {
            return true;
        }
    }

    private static Outcome outcome(int status) {
        if (status == UNAVAILABLE) {
            return Outcome.REFUSED;
        }
        return status < FIRST_SERVER_ERROR ? Outcome.ANSWERED : Outcome.GATEWAY_ERROR;
    }

    /** Reads a whole response, and closes the connection if it says so. */
    private int readResponse() throws IOException {
        StringBuilder response = new StringBuilder();
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
        while (!isWhole(response)) {
            buffer.clear();
            if (channel.read(buffer) < 0) {
                throw new IOException("ended within a response");
            }
            buffer.flip();
            response.append(StandardCharsets.ISO_8859_1.decode(buffer));
        }
        idleSinceNanos = System.nanoTime();
        if (response.indexOf("Connection: close") > 0) {
            close();
        }
        String statusLine = response.substring(0, response.indexOf("\r\n"));
        return Integer.parseInt(statusLine.split(" ")[1]);
    }

    private static boolean isWhole(StringBuilder response) {
        int head = response.indexOf("\r\n\r\n");
        if (head < 0) {
            return false;
        }
        Matcher length = LENGTH.matcher(response.substring(0, head));
        int body = length.find() ? Integer.parseInt(length.group(1)) : 0;
        return response.length() >= head + 4 + body;
    }

    @Override
    public void close() {
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            channel = null;
        }
    }
}
