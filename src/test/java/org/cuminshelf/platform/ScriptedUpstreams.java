package org.cuminshelf.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Upstreams in the test's own process whose events name the software version; each sends heartbeats to control. */
final class ScriptedUpstreams implements AutoCloseable {

    private static final long EVENT_INTERVAL_MILLIS = 60;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 250;
    private static final int SLOTS = 40;
    private static final Pattern LAST_EVENT = Pattern.compile("(?i)last-event-id: (\\d+)");

    private final PlatformProcesses platform;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Thread heartbeats;

    /** Starts an upstream for each version and returns once each control process had a heartbeat of it. */
    ScriptedUpstreams(PlatformProcesses platform, List<String> versions) throws IOException {
        this.platform = platform;
        for (String version : versions) {
            ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName(LoopbackPlatform.HOST));
            listeners.add(listener);
            Thread.ofVirtual().start(() -> accept(listener, version));
        }
        sendHeartbeats(versions, 1);
        heartbeats = Thread.ofVirtual().start(() -> repeatHeartbeats(versions));
    }

    private void repeatHeartbeats(List<String> versions) {
        try {
            for (long sequence = 2; true; sequence++) {
                Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
                sendHeartbeats(versions, sequence);
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHeartbeats(List<String> versions, long sequence) {
        for (int index = 0; index < versions.size(); index++) {
            platform.sendHeartbeat(
                    "i-" + index,
                    "{\"service\":\"s\",\"address\":\"" + LoopbackPlatform.HOST + ":"
                            + listeners.get(index).getLocalPort() + "\",\"zone\":\"z0\",\"slots\":" + SLOTS
                            + ",\"version\":\"" + versions.get(index) + "\",\"state\":\"ready\",\"sequence\":"
                            + sequence + ",\"born\":1}");
        }
    }

    private static void accept(ServerSocket listener, String version) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket, version));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    /** Sends events after the last one that the request names until the connection is closed. */
    private static void serve(Socket connection, String version) {
        try (Socket socket = connection) {
            String head = LoopbackPlatform.readHead(socket.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            Matcher last = LAST_EVENT.matcher(head);
            long next = last.find() ? Long.parseLong(last.group(1)) + 1 : 1;
            send(
                    socket,
                    "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL
                            + ": s\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                String event = "id: " + next++ + "\ndata: " + version + "\n\n";
                send(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(EVENT_INTERVAL_MILLIS);
            }
        } catch (IOException | InterruptedException gone) {
            // The entry has closed the connection.
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        heartbeats.interrupt();
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
