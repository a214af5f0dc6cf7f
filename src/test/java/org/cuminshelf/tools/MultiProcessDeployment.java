package org.cuminshelf.tools;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment of separate operating system processes on loopback: control processes, entries, stand-in upstreams
 * and their sidecars.
 */
final class MultiProcessDeployment implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int CONTROL_PROCESSES = 3;
    private static final long TIMEOUT_SECONDS = 40;
    private static final String CONFIG = "{\"models\":{\"cataloguer\":{}},\"services\":{\"registry\":{}}}";

    private final Path workFolder;
    private final Map<String, List<String>> commands = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final List<Integer> callersPorts = new ArrayList<>();
    private final int servicePort;

    MultiProcessDeployment() throws IOException {
        workFolder = Files.createTempDirectory("processes");
        List<String> controlAddresses = new ArrayList<>();
        for (int i = 0; i < CONTROL_PROCESSES; i++) {
            controlAddresses.add(freeAddress());
        }
        String controlList = String.join(",", controlAddresses);
        for (int i = 0; i < CONTROL_PROCESSES; i++) {
            int admin = freePort();
            adminPorts.add(admin);
            String data = workFolder.resolve("control-" + i).toString();
            add("control-" + i, controlAddresses.get(i), "control", "--global", controlList, "--data", data);
            commands.get("control-" + i).addAll(List.of("--admin", HOST + ":" + admin, "--admin-open"));
        }
        for (int i = 0; i < 2; i++) {
            String engine = freeAddress();
            commands.put("engine-" + i, List.of("stand-in", "--at", engine, "--speed", "instant"));
            add(
                    "engine-sidecar-" + i,
                    freeAddress(),
                    "sidecar",
                    "--control",
                    controlList,
                    "--upstream",
                    "http://" + engine);
        }
        servicePort = freePort();
        String service = HOST + ":" + servicePort;
        commands.put("service", List.of("stand-in", "--kind", "service", "--delay-ms", "20", "--at", service));
        add("service-sidecar", freeAddress(), "sidecar", "--control", controlList, "--upstream", "http://" + service);
        commands.get("service-sidecar").addAll(List.of("--service", "registry"));
        for (int i = 0; i < 2; i++) {
            int callers = freePort();
            callersPorts.add(callers);
            add("entry-" + i, freeAddress(), "entry", "--control", controlList, "--callers", HOST + ":" + callers);
        }
    }

    void startAll() throws IOException, InterruptedException {
        for (String name : commands.keySet()) {
            start(name);
        }
        awaitReady();
    }

    List<Integer> callersPorts() {
        return callersPorts;
    }

    int servicePort() {
        return servicePort;
    }

    void start(String name) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cuminshelf.tools.Main"));
        command.addAll(commands.get(name));
        File log = workFolder.resolve(name + ".log").toFile();
        processes.put(
                name,
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start());
    }

    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /** Sends SIGTERM to a process and returns its exit code, or -1 if it does not stop in time. */
    int stopGracefully(String name) throws InterruptedException {
        Process process = processes.get(name);
        process.destroy();
        return process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    void signal(String name, String signal) throws IOException, InterruptedException {
        String pid = Long.toString(processes.get(name).pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** Returns the name of the control process that currently leads a group, and waits for one to be elected. */
    String leader(String group) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos) {
            for (int i = 0; i < CONTROL_PROCESSES; i++) {
                if (isLeader(adminPorts.get(i), group)) {
                    return "control-" + i;
                }
            }
            Thread.sleep(100);
        }
        throw new IOException("no leader was elected in time; logs are in " + workFolder);
    }

    private static boolean isLeader(int adminPort, String group) {
        try (AdminClient admin = openAdminClient(List.of(adminPort))) {
            for (var status : admin.get("status").body().path("groups")) {
                boolean leader = status.path("role").asText().equals("leader");
                if (leader && status.path("group").asText().equals(group)) {
                    return true;
                }
            }
            return false;
        } catch (IOException unavailable) {
            return false;
        }
    }

    String workFolder() {
        return workFolder.toString();
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
    }

    private void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos) {
            if (applyConfigAndCheckReady()) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException("the deployment was not ready in time; logs are in " + workFolder);
    }

    private boolean applyConfigAndCheckReady() {
        try (AdminClient admin = openAdminClient(adminPorts)) {
            int status = admin.post("config?base=0", CONFIG.getBytes(StandardCharsets.UTF_8))
                    .status();
            var body = admin.get("status").body();
            return (status == 200 || status == 409)
                    && body.path("lowest_version_in_force").asLong() == 1
                    && body.path("upstreams").size() == 3
                    && body.path("subscribers").asInt() == 5
                    && !body.toString().contains("\"leaving\":true");
        } catch (IOException notYet) {
            return false;
        }
    }

    private static AdminClient openAdminClient(List<Integer> ports) throws IOException {
        List<String> addresses =
                ports.stream().map(port -> "http://" + HOST + ":" + port).toList();
        return AdminClient.open(addresses, "", Optional.empty());
    }

    private void add(String name, String listen, String role, String... flags) {
        List<String> command = new ArrayList<>(
                List.of(role, "--listen", listen, "--vm", name, "--zone", "z", "--region", "r", "--mesh-plain"));
        command.addAll(List.of(flags));
        commands.put(name, command);
    }

    private static String freeAddress() throws IOException {
        return HOST + ":" + freePort();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
