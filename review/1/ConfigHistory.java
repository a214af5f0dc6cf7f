import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * An operator changes the configuration hundreds of times; then the control processes are stopped and started in turn.
 * What was acknowledged must be read back.
 */
public final class ConfigHistory {

    private static final int ROUTES = Integer.getInteger("routes", 700);
    private static final int CHANGES = Integer.getInteger("changes", 450);
    private static final int GAP_MILLIS = Integer.getInteger("gap", 80);
    /** Changes without the disruption. */
    private static final int FEW_CHANGES = 10;
    private static final long RECOVER_MILLIS = 12_000;

    private ConfigHistory() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), 3, 0)) {
            result = run(fleet, trouble ? CHANGES : FEW_CHANGES);
            fleet.note("result: " + (result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "not run"));
        }
        System.exit(result);
    }

    private static int run(Fleet fleet, int changes) throws Exception {
        for (String name : fleet.controls()) {
            fleet.start(name);
        }
        int acknowledged = 0;
        int next = 0;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(75);
        int version = 1;
        while (version <= changes && System.nanoTime() < end) {
            byte[] config = config(version);
            long sentAt = System.nanoTime();
            int status = Fleet.call(fleet.control(fleet.controls().get(next)), "PUT /cuminshelf/config", config, 1_000)
                    .status();
            if (status == 200) {
                acknowledged = version;
                if (version == 1 || version % 50 == 0 || version == changes) {
                    fleet.note("operator: version " + version + ", " + config.length + " bytes, acknowledged by "
                            + fleet.controls().get(next) + " after " + millisSince(sentAt) + " ms; its data folder holds "
                            + fleet.dataBytes(fleet.controls().get(next)) + " bytes");
                }
                version++;
                Thread.sleep(Math.max(0, GAP_MILLIS - millisSince(sentAt)));
                continue;
            }
            fleet.note("operator: version " + version + ", no ack from " + fleet.controls().get(next) + ": " + status);
            next = (next + 1) % fleet.controls().size();
            Thread.sleep(100);
        }
        if (acknowledged == 0) {
            return 2;
        }
        fleet.note("operator: the newest acknowledged version is " + acknowledged);
        for (String name : fleet.controls()) {
            if (fleet.isAlive(name)) {
                fleet.terminate(name);
            }
            fleet.start(name);
            Thread.sleep(2_000);
        }
        long restarted = System.nanoTime();
        int read = -1;
        while (read < acknowledged && millisSince(restarted) < RECOVER_MILLIS) {
            Thread.sleep(500);
            for (String name : fleet.controls()) {
                Fleet.Response response = Fleet.call(fleet.control(name), "GET /cuminshelf/config", new byte[0], 1_000);
                read = response.status() == 200 ? Math.max(read, versionOf(response.text())) : read;
            }
        }
        fleet.note("operator: " + millisSince(restarted) + " ms after the last start, version " + read + " is read back");
        for (String name : fleet.controls()) {
            fleet.note("platform: " + name + (fleet.isAlive(name) ? " runs" : " has ended by itself with " + fleet.exitCode(name)));
            fleet.noteErrors(name, 3);
        }
        return read < acknowledged ? 1 : 0;
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static int versionOf(String config) {
        int start = config.indexOf("\"version\":") + 10;
        return Integer.parseInt(config.substring(start, config.indexOf(',', start)));
    }

    private static byte[] config(int version) {
        StringBuilder config = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            config.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(Integer.toString(46_656 + i * 7, 36))
                    .append("\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu")
                    .append(i)
                    .append("/\",\"routeKind\":\"idempotent\",\"timeoutMs\":")
                    .append(i == 0 ? 6_000 + version : 6_000)
                    .append(",\"targetLatencyMs\":200,\"priority\":1,\"trafficSplit\":[{\"service\":\"huvo11a\",\"weight\":90},")
                    .append("{\"service\":\"wuno96b\",\"weight\":10}],\"maxAttempts\":2,\"sticky\":false,\"resumable\":false}");
        }
        config.append("],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",")
                .append("\"tls\":false},{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",")
                .append("\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,")
                .append("\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        return config.toString().getBytes(StandardCharsets.UTF_8);
    }
}
