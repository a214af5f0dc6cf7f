package org.cuminshelf.tools;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.standin.EngineSpeed;

/** Runs all roles in one process, with stand-in upstreams. */
final class StandaloneCommand implements Command {

    private static final String INITIAL_CONFIG =
            "{\"models\":{\"" + Standalone.MODEL + "\":{}},\"services\":{\"" + Standalone.SERVICE + "\":{}}}";
    private static final long STARTUP_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 100;

    @Override
    public String name() {
        return "standalone";
    }

    @Override
    public String summary() {
        return "run all roles in one process with stand-in upstreams, to try the system";
    }

    @Override
    public void describe(Subparser parser) {
        Flags.add(parser, "callers-port", "port of the callers' interface", "8080");
        Flags.add(parser, "admin-port", "port of the administration interface", "7200");
        Flags.add(parser, "engines", "number of stand-in engines", "2");
        Flags.add(parser, "data", "data folder; a temporary folder if absent", "");
        Flags.add(parser, "span-file", "file to which trace spans are appended", "");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        Path data = Flags.path(flags, "data").orElse(null);
        if (data == null) {
            data = Files.createTempDirectory("cuminshelf");
        }
        String key = "standalone";
        Standalone system = Standalone.start(new Standalone.Options(
                data,
                (int) Flags.number(flags, "callers-port", 0, 65_535),
                (int) Flags.number(flags, "admin-port", 0, 65_535),
                (int) Flags.number(flags, "engines", 1, 64),
                EngineSpeed.usual(),
                key,
                Flags.path(flags, "span-file")));
        String callers = "http://127.0.0.1:" + system.callersPort();
        configure(system, key);
        System.out.println("cuminshelf listens on " + callers + "; administration on http://127.0.0.1:"
                + system.adminPort() + " with the key '" + key + "'. Try:");
        System.out.println("  curl -N " + callers + "/v1/completions -d '{\"model\":\"" + Standalone.MODEL
                + "\",\"prompt\":\"A title record\",\"max_tokens\":16,\"stream\":true}'");
        System.out.println("  curl " + callers + "/services/" + Standalone.SERVICE
                + "/numbers -H 'Idempotency-Key: my-title' -d 'My title'");
        return GracefulShutdown.awaitSignal(List.of(system));
    }

    /**
     * Applies the initial configuration, unless the data folder already contains one, and waits until the system serves
     * callers.
     */
    static void configure(Standalone system, String key) throws IOException, InterruptedException {
        try (AdminClient admin =
                AdminClient.open(List.of("http://127.0.0.1:" + system.adminPort()), key, Optional.empty())) {
            long deadlineNanos = System.nanoTime() + STARTUP_TIMEOUT_MILLIS * 1_000_000;
            while (System.nanoTime() < deadlineNanos) {
                AdminClient.Answer answer =
                        admin.post("config?base=0", INITIAL_CONFIG.getBytes(StandardCharsets.UTF_8));
                boolean accepted = answer.status() == 200 || answer.status() == 409;
                if (accepted && isServing(admin)) {
                    return;
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        }
        throw new IOException("the system was not ready within " + STARTUP_TIMEOUT_MILLIS + " ms");
    }

    private static boolean isServing(AdminClient admin) throws IOException {
        AdminClient.Answer status = admin.get("status");
        long lowestVersion = status.body().path("lowest_version_in_force").asLong();
        boolean allAvailable = true;
        for (var upstream : status.body().path("upstreams")) {
            allAvailable &= !upstream.path("leaving").asBoolean();
        }
        return lowestVersion >= 1 && status.body().path("subscribers").asInt() > 0 && allAvailable;
    }
}
