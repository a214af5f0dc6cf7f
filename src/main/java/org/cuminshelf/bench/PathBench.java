package org.cuminshelf.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What entry and sidecar add to a request, against the engine called directly, in one run and in turn. */
public final class PathBench {

    private static final int WARM_UP = 600;
    private static final int ROUNDS = 5;
    private static final int REQUESTS = 400;
    private static final int TOKENS = 16;
    private static final int MOST_SECONDS = 20;

    private final URI direct;
    private final URI through;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private PathBench(URI direct, URI through) {
        this.direct = direct;
        this.through = through;
    }

    private record Figures(Histogram first, Histogram whole, double perSecond) {}

    /**
     * Measures one and many callers at once.
     *
     * @param enginePort  the engine called directly
     * @param callersPort the entry
     * @return lines of figures
     * @throws IOException          if a request fails
     * @throws InterruptedException if the wait is interrupted
     */
    public static List<String> measure(int enginePort, int callersPort) throws IOException, InterruptedException {
        PathBench bench = new PathBench(
                URI.create("http://127.0.0.1:" + enginePort + "/v1/completions"),
                URI.create("http://127.0.0.1:" + callersPort + "/v1/completions"));
        List<String> lines = new ArrayList<>();
        bench.load(bench.direct, 4, WARM_UP);
        bench.load(bench.through, 4, WARM_UP);
        for (int callers : new int[] {1, 8, 32}) {
            bench.compare(callers, lines);
        }
        return lines;
    }

    private void compare(int callers, List<String> lines) throws IOException, InterruptedException {
        Histogram directFirst = new Histogram(3);
        Histogram throughFirst = new Histogram(3);
        double directPerSecond = 0;
        double throughPerSecond = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Figures one = load(direct, callers, REQUESTS);
            Figures other = load(through, callers, REQUESTS);
            directFirst.add(one.first);
            throughFirst.add(other.first);
            directPerSecond += one.perSecond / ROUNDS;
            throughPerSecond += other.perSecond / ROUNDS;
        }
        lines.add(String.format(
                "%d callers: first token p50 %.2f ms direct, %.2f ms through, added %.2f ms; p99 %.2f and %.2f ms,"
                        + " added %.2f ms",
                callers,
                millis(directFirst, 50),
                millis(throughFirst, 50),
                millis(throughFirst, 50) - millis(directFirst, 50),
                millis(directFirst, 99),
                millis(throughFirst, 99),
                millis(throughFirst, 99) - millis(directFirst, 99)));
        lines.add(String.format(
                "%d callers: %.0f requests/s direct, %.0f through, ratio %.2f",
                callers, directPerSecond, throughPerSecond, throughPerSecond / directPerSecond));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    private Figures load(URI target, int callers, int requests) throws IOException, InterruptedException {
        Histogram first = new ConcurrentHistogram(3);
        Histogram whole = new ConcurrentHistogram(3);
        AtomicLong left = new AtomicLong(requests);
        long start = System.nanoTime();
        try (ExecutorService threads = Executors.newFixedThreadPool(callers)) {
            List<Future<?>> running = new ArrayList<>();
            for (int caller = 0; caller < callers; caller++) {
                running.add(threads.submit(() -> {
                    while (left.getAndDecrement() > 0) {
                        request(target, first, whole);
                    }
                    return null;
                }));
            }
            for (Future<?> caller : running) {
                caller.get();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException("a request failed: " + e.getCause(), e);
        }
        return new Figures(first, whole, requests / ((System.nanoTime() - start) / 1e9));
    }

    private void request(URI target, Histogram first, Histogram whole) throws IOException, InterruptedException {
        String body = "{\"model\":\"cataloguer\",\"prompt\":\"A title record to be checked\",\"max_tokens\":" + TOKENS
                + ",\"stream\":true}";
        HttpRequest request = HttpRequest.newBuilder(target)
                .timeout(Duration.ofSeconds(MOST_SECONDS))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        long start = System.nanoTime();
        HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream stream = response.body()) {
            if (response.statusCode() != 200 || stream.read() < 0) {
                throw new IOException("status " + response.statusCode() + " from " + target);
            }
            first.recordValue(System.nanoTime() - start);
            String rest = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            if (!rest.contains("\"finish_reason\":\"stop\"")) {
                throw new IOException("an answer from " + target + " is not whole");
            }
            whole.recordValue(System.nanoTime() - start);
        }
    }
}
