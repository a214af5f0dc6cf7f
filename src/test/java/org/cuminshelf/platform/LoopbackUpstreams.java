package org.cuminshelf.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Upstreams in the test's own process, each of which sends heartbeats to control. */
final class LoopbackUpstreams implements AutoCloseable {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 250;
    private static final int BACKLOG = 200;

    private final PlatformProcesses platform;
    private final int slots;
    private final List<String> versions;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Thread heartbeats;

    /** Serves a connection until it ends; any exception closes it. */
    interface Service {

        void serve(int upstream, Socket socket) throws IOException, InterruptedException;
    }

    /** Starts an upstream for each version and returns once each control process had a heartbeat of it. */
    LoopbackUpstreams(PlatformProcesses platform, int slots, List<String> versions, Service service)
            throws IOException {
        this.platform = platform;
        this.slots = slots;
        this.versions = versions;
        for (int index = 0; index < versions.size(); index++) {
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(LoopbackPlatform.HOST));
            listeners.add(listener);
            int upstream = index;
            Thread.ofVirtual().start(() -> accept(upstream, listener, service));
        }
        sendHeartbeats(1);
        heartbeats = Thread.ofVirtual().start(this::repeatHeartbeats);
    }

    private void repeatHeartbeats() {
        try {
            for (long sequence = 2; true; sequence++) {
                Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
                sendHeartbeats(sequence);
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHeartbeats(long sequence) {
        for (int index = 0; index < versions.size(); index++) {
            platform.sendHeartbeat(
                    "i-" + index,
                    "{\"service\":\"s\",\"address\":\"" + LoopbackPlatform.HOST + ":"
                            + listeners.get(index).getLocalPort() + "\",\"zone\":\"z0\",\"slots\":" + slots
                            + ",\"version\":\"" + versions.get(index) + "\",\"state\":\"ready\",\"sequence\":"
                            + sequence + ",\"born\":1}");
        }
    }

    private static void accept(int upstream, ServerSocket listener, Service service) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread.ofPlatform().daemon().start(() -> serve(upstream, socket, service));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private static void serve(int upstream, Socket connection, Service service) {
        try (Socket socket = connection) {
            service.serve(upstream, socket);
        } catch (IOException | InterruptedException gone) {
            // The entry has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        heartbeats.interrupt();
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
