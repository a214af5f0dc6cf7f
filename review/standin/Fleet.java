import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Stand-in of the platform: starts control processes and entries with the commands of the deploy file, each at a
 * loopback address of its own, and writes what happens to a record.
 */
final class Fleet implements AutoCloseable {

    private static final long START_NANOS = System.nanoTime();

    private final Path folder = Files.createTempDirectory("review");
    private final BufferedWriter record;
    private final String network;
    private final int controlPort;
    private final int frontPort;
    private final int readyPort;
    private final int firstInternalPort;
    private final List<String> controls = new ArrayList<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, Process> processes = new HashMap<>();
    private final Map<String, String[]> commands = new HashMap<>();

    Fleet(Path recordFile, int controlCount, int entryCount) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        long pid = ProcessHandle.current().pid();
        network = "127." + (1 + (pid >> 8) % 254) + "." + pid % 256 + ".";
        List<Integer> ports = freePorts(4);
        controlPort = ports.get(0);
        frontPort = ports.get(1);
        readyPort = ports.get(2);
        firstInternalPort = ports.get(3);
        readCommands();
        for (int i = 1; i <= controlCount; i++) {
            controls.add("control-" + i);
            addresses.put("control-" + i, network + i);
        }
        for (int i = 1; i <= entryCount; i++) {
            addresses.put("entry-" + i, network + (100 + i));
        }
    }

    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring(7, line.indexOf(']'));
            } else if (line.startsWith("run = ")) {
                commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0")));
        }
        List<Integer> ports = new ArrayList<>();
        for (ServerSocket socket : sockets) {
            ports.add(socket.getLocalPort());
            socket.close();
        }
        return ports;
    }

    synchronized void note(String text) {
        try {
            record.write(String.format("%8.3f %s%n", (System.nanoTime() - START_NANOS) / 1e9, text));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    List<String> controls() {
        return controls;
    }

    /** A control process is gone for good, and another one takes its place at another address, with an empty disk. */
    void replaceControl(String old, String successor, int hostNumber) throws IOException {
        controls.set(controls.indexOf(old), successor);
        addresses.put(successor, network + hostNumber);
        for (String name : controls) {
            if (!name.equals(successor)) {
                writeSettings(name, false);
            }
        }
        Files.createDirectories(folder.resolve(successor + "-data"));
        writeSettings(successor, false);
        start(successor);
    }

    /** An address for a stand-in of a server. */
    String serverAddress(int number) {
        return network + (200 + number);
    }

    InetSocketAddress control(String name) {
        return new InetSocketAddress(addresses.get(name), controlPort);
    }

    InetSocketAddress front(String name) {
        return new InetSocketAddress(addresses.get(name), frontPort);
    }

    InetSocketAddress ready(String name) {
        return new InetSocketAddress(addresses.get(name), readyPort);
    }

    void start(String name) throws IOException {
        boolean isControl = name.startsWith("control");
        Path settings = folder.resolve(name + ".json");
        writeSettings(name, !Files.exists(settings));
        ProcessBuilder builder = new ProcessBuilder(commands.get(isControl ? "control" : "entry"));
        builder.environment().put("CUMINSHELF_BOOT", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        note("platform: " + name + " started");
    }

    private void writeSettings(String name, boolean first) throws IOException {
        boolean isControl = name.startsWith("control");
        Path data = folder.resolve(name + "-data");
        if (isControl) {
            Files.createDirectories(data);
        }
        Files.writeString(folder.resolve(name + ".json"), settings(name, isControl, first, data));
    }

    private String settings(String name, boolean isControl, boolean first, Path data) {
        String ip = addresses.get(name);
        StringBuilder seeds = new StringBuilder();
        for (String control : controls.subList(0, Math.min(3, controls.size()))) {
            seeds.append(seeds.isEmpty() ? "" : ",")
                    .append('"')
                    .append(addresses.get(control))
                    .append(':')
                    .append(controlPort)
                    .append('"');
        }
        String listen = isControl
                ? "{\"control\":\"" + ip + ":" + controlPort + "\"}"
                : "{\"front\":\"" + ip + ":" + frontPort + "\",\"ready\":\"" + ip + ":" + readyPort + "\"}";
        return "{\"node\":\"" + name + "\",\"role\":\"" + (isControl ? "control" : "entry") + "\",\"machineClass\":\""
                + (isControl ? "core" : "front") + "\",\"serves\":[\"" + (isControl ? "control" : "front")
                + "\"],\"ip\":\"" + ip + "\",\"zone\":\"plateau\",\"region\":\"dakar-west\","
                + "\"zones\":{\"plateau\":\"dakar-west\"},\"listen\":" + listen + ",\"internalPorts\":["
                + firstInternalPort + "," + (firstInternalPort + 15) + "],\"seeds\":[" + seeds + "],\"bootstrap\":"
                + first + ",\"countsAsLoss\":" + isControl + ",\"limits\":{\"cpuShare\":0.9,\"cores\":2,\"memoryMb\":"
                + (isControl ? 426 : 430) + ",\"maxFds\":4096,\"linkMbps\":1000.0,\"diskMb\":" + (isControl ? 128 : 0)
                + "},\"dataDir\":" + (isControl ? "\"" + data + "\"" : "null")
                + ",\"discovery\":\"registry\",\"entry\":\"virtual_ip\",\"heartbeatMs\":1200,\"contracts\":[\"base\","
                + "\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\"],"
                + "\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
                + "\"addrReuseS\":2,\"stableWindowMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
                + "\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
                + "\"maxSkewMs\":5000,\"retryBudgetRatio\":0.2,\"retryWindowS\":10,\"retrySlack\":54,\"recoverS\":12,"
                + "\"transitMs\":120,\"againS\":8.1,\"fenceChecked\":false,\"leaseMs\":3000,\"thawMs\":300},"
                + "\"configMode\":\"highest\"}";
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** The exit code of a process that has ended, or -1. */
    int exitCode(String name) {
        Process process = processes.get(name);
        return process.isAlive() ? -1 : process.exitValue();
    }

    /** Sends SIGTERM and, after the grace time, SIGKILL, as the platform does. */
    void terminate(String name) throws InterruptedException {
        note("platform: SIGTERM to " + name);
        Process process = processes.get(name);
        process.destroy();
        if (!process.waitFor(8, TimeUnit.SECONDS)) {
            note("platform: SIGKILL to " + name);
            process.destroyForcibly().waitFor();
        }
        note("platform: " + name + " has ended with " + process.exitValue());
    }

    void kill(String name) throws InterruptedException {
        Process process = processes.get(name);
        process.destroyForcibly();
        note("platform: SIGKILL to " + name);
        process.waitFor();
    }

    /** Sends SIGKILL and returns at once. */
    void killAtOnce(String name) {
        processes.get(name).destroyForcibly();
    }

    /** Sends a signal such as STOP, CONT or HUP. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        note("platform: SIG" + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
    }

    /** Copies the errors that a process has logged to the record. */
    void noteErrors(String name, int most) throws IOException {
        Path log = folder.resolve(name + ".log");
        if (!Files.exists(log)) {
            return;
        }
        try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            lines.filter(line -> line.contains("OutOfMemoryError") || line.contains("ERROR"))
                    .limit(most)
                    .forEach(line -> note("log of " + name + ": " + line.replace(folder.toString(), "FOLDER")));
        }
    }

    long dataBytes(String name) throws IOException {
        Path data = folder.resolve(name + "-data");
        if (!Files.exists(data)) {
            return 0;
        }
        try (Stream<Path> files = Files.walk(data)) {
            return files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum();
        }
    }

    // ---- calls

    /** A response: its status, 0 if there was none, and its body. */
    record Response(int status, String head, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static final Response NONE = new Response(0, "", new byte[0]);

    /** Makes one call on a connection of its own; status 0 after a failure or the time limit. */
    static Response call(InetSocketAddress to, String requestLine, byte[] body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, Math.min(1_000, timeoutMillis));
            socket.setSoTimeout(timeoutMillis);
            String head = requestLine + " HTTP/1.1\r\nHost: " + to.getHostString() + "\r\nConnection: close\r\n"
                    + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            return Http.readResponse(socket.getInputStream(), false);
        } catch (IOException e) {
            return NONE;
        }
    }

    boolean awaitOk(InetSocketAddress to, String requestLine, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            if (call(to, requestLine, new byte[0], 1_000).status() == 200) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            process.onExit().join();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        record.close();
    }
}
