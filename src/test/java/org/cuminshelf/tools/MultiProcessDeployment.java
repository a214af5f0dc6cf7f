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

/** A small deployment as separate operating system processes on loopback. */
final class MultiProcessDeployment implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int CONTROL = 3;
    private static final long PATIENCE_SECONDS = 40;
    private static final String CONFIG = "{\"models\":{\"cataloguer\":{}},\"services\":{\"registry\":{}}}";

    private final Path folder;
    private final Map<String, List<String>> commands = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final List<Integer> callersPorts = new ArrayList<>();
    private final int servicePort;

    MultiProcessDeployment() throws IOException {
        folder = Files.createTempDirectory("processes");
        List<String> control = new ArrayList<>();
        for (int i = 0; i < CONTROL; i++) {
            control.add(address());
        }
        String all = String.join(",", control);
        for (int i = 0; i < CONTROL; i++) {
            int admin = freePort();
            adminPorts.add(admin);
            String data = folder.resolve("control-" + i).toString();
            add("control-" + i, control.get(i), "control", "--global", all, "--data", data);
            commands.get("control-" + i).addAll(List.of("--admin", HOST + ":" + admin, "--admin-open"));
        }
        for (int i = 0; i < 2; i++) {
            String engine = address();
            commands.put("engine-" + i, List.of("stand-in", "--at", engine, "--speed", "instant"));
            add("engine-sidecar-" + i, address(), "sidecar", "--control", all, "--upstream", "http://" + engine);
        }
        servicePort = freePort();
        String service = HOST + ":" + servicePort;
        commands.put("service", List.of("stand-in", "--kind", "service", "--delay-ms", "20", "--at", service));
        add("service-sidecar", address(), "sidecar", "--control", all, "--upstream", "http://" + service);
        commands.get("service-sidecar").addAll(List.of("--service", "registry"));
        for (int i = 0; i < 2; i++) {
            int callers = freePort();
            callersPorts.add(callers);
            add("entry-" + i, address(), "entry", "--control", all, "--callers", HOST + ":" + callers);
        }
    }

    void startAll() throws IOException, InterruptedException {
        for (String name : commands.keySet()) {
            start(name);
        }
        configure();
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
        File log = folder.resolve(name + ".log").toFile();
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

    /** Asks a process to stop and tells its exit code. */
    int stopGracefully(String name) throws InterruptedException {
        Process process = processes.get(name);
        process.destroy();
        return process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    void signal(String name, String signal) throws IOException, InterruptedException {
        String pid = Long.toString(processes.get(name).pid());
        new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    }

    /** The name of the control process that leads a group now. */
    String leader(String group) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (System.nanoTime() < end) {
            for (int i = 0; i < CONTROL; i++) {
                if (leads(adminPorts.get(i), group)) {
                    return "control-" + i;
                }
            }
            Thread.sleep(100);
        }
        throw new IOException("no leader in time; logs are in " + folder);
    }

    private static boolean leads(int adminPort, String group) {
        try (AdminClient admin = admin(List.of(adminPort))) {
            for (var status : admin.get("status").body().path("groups")) {
                boolean leader = status.path("role").asText().equals("leader");
                if (leader && status.path("group").asText().equals(group)) {
                    return true;
                }
            }
            return false;
        } catch (IOException down) {
            return false;
        }
    }

    String logs() {
        return folder.toString();
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
    }

    private void configure() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (System.nanoTime() < end) {
            if (isConfigured()) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException("the deployment was not ready in time; logs are in " + folder);
    }

    private boolean isConfigured() {
        try (AdminClient admin = admin(adminPorts)) {
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

    private static AdminClient admin(List<Integer> ports) throws IOException {
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

    private static String address() throws IOException {
        return HOST + ":" + freePort();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
