package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminshelf.control.ControlSettings;

/**
 * Control processes and entries of the operators' platform as operating system processes, each with a loopback address
 * of its own, as the settings file allows one message port for all.
 */
final class PlatformProcesses implements AutoCloseable {

    private static final long TIMEOUT_SECONDS = 60;
    private static final Pattern OUTCOME = Pattern.compile("event=resumption .* ?outcome=(\\S+)");
    /** Index of a port in {@link #ports}, by use. */
    private static final int MESSAGES = 0;

    private static final int METRICS = 1;
    private static final int LISTEN = 2;
    private static final int READINESS = 3;

    private final String config;
    private final List<String> controls;
    private final List<String> entries;
    private final List<Integer> ports;
    private final Path workFolder = Files.createTempDirectory("platform-processes");
    private final String network = networkOfThisProcess();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private int configVersion = 3;

    /** Starts all processes and returns once each entry is ready with a configuration. */
    PlatformProcesses(int controlProcesses, int entryProcesses, String config) throws Exception {
        this.config = config;
        controls = names("control-", controlProcesses);
        entries = names("entry-", entryProcesses);
        ports = freePorts(READINESS + 1);
        try {
            start(controls);
            start(entries);
            retryUntilDone(controls.getFirst(), LISTEN, "PUT /cuminshelf/config", config);
            awaitEntries();
        } catch (AssertionError | Exception e) {
            close();
            throw e;
        }
    }

    List<String> controls() {
        return controls;
    }

    List<String> entries() {
        return entries;
    }

    /** Opens a connection to the port for callers of an entry, or for upstreams of a control process. */
    Socket connect(String name) throws IOException {
        return new Socket(address(name), ports.get(LISTEN));
    }

    // ---- processes

    void start(Collection<String> names) throws IOException {
        for (String name : names) {
            start(name);
        }
    }

    void start(String name) throws IOException {
        Path settings = workFolder.resolve(name + ".json");
        // A control process that starts again must join the group that exists.
        boolean first = !Files.exists(settings);
        Files.writeString(settings, settings(name, first));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cuminshelf.tools.Main",
                "platform",
                name.substring(0, name.indexOf('-')));
        builder.environment().put(BootSettings.PATH_VARIABLE, settings.toString());
        File log = workFolder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(name, builder.start());
    }

    /** Kills processes at once. */
    void kill(Collection<String> names) {
        names.forEach(name -> processes.get(name).destroyForcibly());
        names.forEach(name -> processes.get(name).onExit().join());
    }

    /** Asks a process to stop, and waits until it has. */
    void stop(String name) throws InterruptedException {
        processes.get(name).destroy();
        assertThat(processes.get(name).waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .as("%s stopped", name)
                .isTrue();
    }

    /** Asks a process to stop without waiting for it. */
    void requestStop(String name) {
        processes.get(name).destroy();
    }

    /** Waits until a process has ended, and kills it if it has not after some time; returns whether it ended itself. */
    boolean awaitEnd(String name, long millis) throws InterruptedException {
        Process process = processes.get(name);
        boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
        process.destroyForcibly().waitFor();
        return ended;
    }

    /** How a process has ended: 128 and the number of a signal if that has ended it. */
    int exitCode(String name) {
        return processes.get(name).exitValue();
    }

    /** Asks a process to stop as soon as its port for callers is open. */
    void requestStopOnceOpen(String name) throws InterruptedException {
        while (!isOpen(name)) {
            Thread.sleep(1);
        }
        requestStop(name);
    }

    private boolean isOpen(String name) {
        try (Socket _ = connect(name)) {
            return true;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Sends a configuration to a control process, and returns whether it was acknowledged. */
    boolean configure(String control, String document) {
        return call(control, LISTEN, "PUT /cuminshelf/config", document).startsWith("HTTP/1.1 200");
    }

    /** Reads the configuration that a control process holds; empty if it does not answer. */
    Optional<String> configuration(String control) {
        String response = call(control, LISTEN, "GET /cuminshelf/config", "");
        return response.startsWith("HTTP/1.1 200")
                ? Optional.of(response.substring(response.indexOf("\r\n\r\n")))
                : Optional.empty();
    }

    /** The file of the replication log of a control process. */
    Path logFile(String control) {
        return workFolder.resolve(control).resolve(ControlSettings.GLOBAL_GROUP).resolve("log");
    }

    /** What a process has logged so far. */
    String log(String name) throws IOException {
        return Files.readString(workFolder.resolve(name + ".log"));
    }

    /** Returns the processor time that a process has used so far, in nanoseconds. */
    long processorNanos(String name) {
        return processes.get(name).info().totalCpuDuration().orElseThrow().toNanos();
    }

    /** Whether a process runs, and has run with the memory that it has. */
    boolean isSound(String name) throws IOException {
        String log = Files.readString(workFolder.resolve(name + ".log"));
        return processes.get(name).isAlive() && !log.contains("OutOfMemoryError");
    }

    /** Lets a process not run for some time from now. */
    void freeze(String name, long millis) throws IOException, InterruptedException {
        Process process = processes.get(name);
        signal(process, "STOP");
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(() -> {
            try {
                signal(process, "CONT");
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Lets all threads of a process run on one core of the machine only. */
    void pin(String name, String core) throws IOException, InterruptedException {
        String pid = Long.toString(processes.get(name).pid());
        new ProcessBuilder("taskset", "-a", "-c", "-p", core, pid).start().waitFor();
    }

    private static void signal(Process process, String signal) throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    // ---- conditions

    void awaitEntries() throws InterruptedException {
        for (String entry : entries) {
            awaitEntry(entry);
        }
    }

    void awaitEntry(String entry) throws InterruptedException {
        retryUntilDone(entry, READINESS, "GET /", "");
    }

    /** Waits until a control process has answered with what a majority has accepted. */
    void awaitControl(String name) throws InterruptedException {
        retryUntilDone(name, LISTEN, "GET /cuminshelf/config", "");
    }

    /** Waits until each entry has heard a control process: by a new version of the configuration that it has sent. */
    void awaitHeardByEntries(String control) throws InterruptedException {
        configVersion++;
        retryUntilDone(
                control,
                LISTEN,
                "PUT /cuminshelf/config",
                config.replace("\"version\":3", "\"version\":" + configVersion));
        String expected = "cuminshelf_config_version " + configVersion;
        for (String entry : entries) {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (!call(entry, METRICS, "GET /metrics", "").contains(expected)) {
                assertThat(System.nanoTime()).as("%s has %s", entry, expected).isLessThan(deadlineNanos);
                Thread.sleep(20);
            }
        }
    }

    private void retryUntilDone(String name, int port, String requestLine, String body) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        String response = "";
        while (!response.startsWith("HTTP/1.1 200")) {
            assertThat(System.nanoTime())
                    .as("%s to %s, logs in %s: %s", requestLine, name, workFolder, response)
                    .isLessThan(deadlineNanos);
            Thread.sleep(20);
            response = call(name, port, requestLine, body);
        }
    }

    /** Sends a heartbeat to each control process; one that does not run misses it. */
    void sendHeartbeat(String upstream, String heartbeat) {
        controls.forEach(name -> call(name, LISTEN, "PUT /cuminshelf/instances/" + upstream, heartbeat));
    }

    private String call(String name, int port, String requestLine, String body) {
        String request = requestLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        try (Socket socket = new Socket(address(name), ports.get(port))) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Counts the outcomes of resumptions in the logs of all entries. */
    Map<String, Integer> outcomes() throws IOException {
        Map<String, Integer> counts = new TreeMap<>();
        for (String entry : entries) {
            Matcher outcome = OUTCOME.matcher(Files.readString(workFolder.resolve(entry + ".log")));
            while (outcome.find()) {
                counts.merge(outcome.group(1), 1, Integer::sum);
            }
        }
        return counts;
    }

    // ---- settings

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(index -> prefix + index).toList();
    }

    private String settings(String name, boolean first) {
        String address = address(name);
        String listen = "\"" + address + ":" + ports.get(LISTEN) + "\"";
        List<String> seeds = controls.stream()
                .map(control -> "\"" + address(control) + ":" + ports.get(LISTEN) + "\"")
                .toList();
        return "{\"node\":\"" + name + "\",\"zone\":\"z" + name.charAt(name.length() - 1)
                + "\",\"region\":\"r\",\"ip\":\"" + address + "\",\"internalPorts\":[" + ports.get(MESSAGES) + ","
                + ports.get(METRICS) + "],\"seeds\":" + seeds + ",\"bootstrap\":" + first + ",\"dataDir\":\""
                + workFolder.resolve(name) + "\",\"listen\":{\"front\":" + listen + ",\"control\":" + listen
                + ",\"ready\":\"" + address + ":" + ports.get(READINESS) + "\"}}";
    }

    private String address(String name) {
        int index = controls.indexOf(name) + 1;
        int number = index > 0 ? index : controls.size() + 1 + entries.indexOf(name);
        return network + number;
    }

    /** Addresses that other test runs on this machine do not use. */
    private static String networkOfThisProcess() {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + (pid >> 8) % 254) + "." + pid % 256 + ".";
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0")));
        }
        List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Kills what still runs; with {@code -Dprocesses.keep=true} logs stay where they are. */
    @Override
    public void close() throws IOException {
        kill(processes.keySet());
        if (Boolean.getBoolean("processes.keep")) {
            System.out.println("logs are in " + workFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(workFolder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
