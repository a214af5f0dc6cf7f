import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Stand-in of a sound plain server: announces itself to control every 1.2 s, runs what names it as the expected
 * instance, and answers with the seal and the id of the request.
 */
final class Runner implements AutoCloseable {

    private final Fleet fleet;
    private final String id;
    private final String service;
    private final ServerSocket listener;
    private final int workMillis;
    private final Consumer<String> onRun;
    private volatile boolean running = true;
    private volatile boolean announces = true;
    private int sequence;
    final AtomicInteger runs = new AtomicInteger();

    Runner(Fleet fleet, String id, String service, String address, int workMillis, Consumer<String> onRun)
            throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.workMillis = workMillis;
        this.onRun = onRun;
        listener = new ServerSocket(0, 500, InetAddress.getByName(address));
        start("accept " + id, this::accept);
        start("beat " + id, this::beat);
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void beat() {
        int next = 0;
        while (running && announces) {
            sequence++;
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + address()
                    + "\",\"zone\":\"plateau\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,"
                    + "\"sequence\":" + sequence + "}";
            for (int tries = 0; tries < fleet.controls().size(); tries++) {
                Fleet.Response response = Fleet.call(
                        fleet.control(fleet.controls().get(next)),
                        "PUT /cuminshelf/instances/" + id,
                        body.getBytes(StandardCharsets.UTF_8),
                        1_000);
                if (response.status() / 100 == 2) {
                    break;
                }
                next = (next + 1) % fleet.controls().size();
            }
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (running) {
            try {
                Socket socket = listener.accept();
                start("serve " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (running) {
                String head = Http.readHead(in);
                byte[] body = Http.readBody(in, head);
                String request = Http.header(head, "X-Cuminshelf-Request-Id");
                String expected = Http.header(head, "X-Cuminshelf-Expect-Instance");
                boolean mine = expected.isEmpty() || expected.equals(id);
                if (mine && !request.isEmpty()) {
                    runs.incrementAndGet();
                    onRun.accept(id + " runs " + request + " with " + body.length + " bytes");
                    Thread.sleep(workMillis);
                }
                byte[] answer = ("done by " + id + " for " + request + "\n").getBytes(StandardCharsets.UTF_8);
                String status = mine ? "200 OK" : "421 Misdirected Request";
                String seal = mine ? "X-Cuminshelf-Response-Seal: " + id + "." + request + "\r\n" : "X-Cuminshelf-Not-Executed: 1\r\n";
                String answerHead = "HTTP/1.1 " + status + "\r\nX-Cuminshelf-Request-Id: " + request + "\r\n" + seal
                        + "X-Cuminshelf-Instance-Id: " + id + "\r\nKeep-Alive: timeout=20\r\nContent-Length: "
                        + answer.length + "\r\n\r\n";
                socket.getOutputStream().write(answerHead.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(answer);
            }
        } catch (IOException | InterruptedException e) {
            // The channel has ended.
        }
    }

    /**
     * Leaves without a word before: tells control that it is gone, sends no more heartbeats, and goes on serving. Runs
     * an action as soon as the status line of the ack is there. Returns the time of the ack, or 0 if there was none.
     */
    long leave(String control, Runnable onAck) {
        announces = false;
        try (Socket socket = new Socket()) {
            socket.connect(fleet.control(control), 1_000);
            socket.setSoTimeout(1_000);
            socket.setTcpNoDelay(true);
            String call = "DELETE /cuminshelf/instances/" + id + " HTTP/1.1\r\nHost: control\r\n\r\n";
            socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
            byte[] status = socket.getInputStream().readNBytes(12);
            boolean acknowledged = new String(status, StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 2");
            if (acknowledged) {
                onAck.run();
            }
            return acknowledged ? System.nanoTime() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        running = false;
        listener.close();
    }
}
