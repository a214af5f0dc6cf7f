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

/**
 * Benchmark of the latency that entry and sidecar add to a request. Rounds through the entry alternate with
 * rounds that call the engine directly.
 */
public final class PathBench {

    private static final int WARM_UP_REQUESTS = 600;
    private static final int ROUNDS = 5;
    private static final int REQUESTS_PER_ROUND = 400;
    private static final int TOKENS_PER_REQUEST = 16;
    private static final int REQUEST_TIMEOUT_SECONDS = 20;

    private final URI engineUri;
    private final URI entryUri;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private PathBench(URI engineUri, URI entryUri) {
        this.engineUri = engineUri;
        this.entryUri = entryUri;
    }

    private record LoadResult(Histogram firstTokenNanos, Histogram responseNanos, double requestsPerSecond) {}

    /**
     * Runs the benchmark with 1, 8 and 32 concurrent callers.
     *
     * @param enginePort  the port of the engine
     * @param callersPort the port on which the entry accepts callers
     * @return the result lines to print
     * @throws IOException          if a request fails or its response is incomplete
     * @throws InterruptedException if the benchmark is interrupted
     */
    public static List<String> measure(int enginePort, int callersPort) throws IOException, InterruptedException {
        PathBench bench = new PathBench(
                URI.create("http://127.0.0.1:" + enginePort + "/v1/completions"),
                URI.create("http://127.0.0.1:" + callersPort + "/v1/completions"));
        List<String> lines = new ArrayList<>();
        bench.runLoad(bench.engineUri, 4, WARM_UP_REQUESTS);
        bench.runLoad(bench.entryUri, 4, WARM_UP_REQUESTS);
        for (int callers : new int[] {1, 8, 32}) {
            bench.compare(callers, lines);
        }
        return lines;
    }

    private void compare(int callers, List<String> lines) throws IOException, InterruptedException {
        Histogram engineFirstToken = new Histogram(3);
        Histogram entryFirstToken = new Histogram(3);
        double engineRequestsPerSecond = 0;
        double entryRequestsPerSecond = 0;
        for (int round = 0; round < ROUNDS; round++) {
            LoadResult engineResult = runLoad(engineUri, callers, REQUESTS_PER_ROUND);
            LoadResult entryResult = runLoad(entryUri, callers, REQUESTS_PER_ROUND);
            engineFirstToken.add(engineResult.firstTokenNanos);
            entryFirstToken.add(entryResult.firstTokenNanos);
            engineRequestsPerSecond += engineResult.requestsPerSecond / ROUNDS;
            entryRequestsPerSecond += entryResult.requestsPerSecond / ROUNDS;
        }
        lines.add(String.format(
                "%d callers: first token p50 %.2f ms direct, %.2f ms through, added %.2f ms; p99 %.2f and %.2f ms,"
                        + " added %.2f ms",
                callers,
                millis(engineFirstToken, 50),
                millis(entryFirstToken, 50),
                millis(entryFirstToken, 50) - millis(engineFirstToken, 50),
                millis(engineFirstToken, 99),
                millis(entryFirstToken, 99),
                millis(entryFirstToken, 99) - millis(engineFirstToken, 99)));
        lines.add(String.format(
                "%d callers: %.0f requests/s direct, %.0f through, ratio %.2f",
                callers,
                engineRequestsPerSecond,
                entryRequestsPerSecond,
                entryRequestsPerSecond / engineRequestsPerSecond));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    private LoadResult runLoad(URI target, int callers, int requests) throws IOException, InterruptedException {
        Histogram firstTokenNanos = new ConcurrentHistogram(3);
        Histogram responseNanos = new ConcurrentHistogram(3);
        AtomicLong remaining = new AtomicLong(requests);
        long start = System.nanoTime();
        try (ExecutorService executor = Executors.newFixedThreadPool(callers)) {
            List<Future<?>> callerTasks = new ArrayList<>();
            for (int caller = 0; caller < callers; caller++) {
                callerTasks.add(executor.submit(() -> {
                    while (remaining.getAndDecrement() > 0) {
                        request(target, firstTokenNanos, responseNanos);
                    }
                    return null;
                }));
            }
            for (Future<?> caller : callerTasks) {
                caller.get();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException("a request failed: " + e.getCause(), e);
        }
        return new LoadResult(firstTokenNanos, responseNanos, requests / ((System.nanoTime() - start) / 1e9));
    }

    private void request(URI target, Histogram firstTokenNanos, Histogram responseNanos)
            throws IOException, InterruptedException {
        String body = "{\"model\":\"cataloguer\",\"prompt\":\"A title record to be checked\",\"max_tokens\":"
                + TOKENS_PER_REQUEST + ",\"stream\":true}";
        HttpRequest request = HttpRequest.newBuilder(target)
                .timeout(Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        long start = System.nanoTime();
        HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream stream = response.body()) {
            if (response.statusCode() != 200 || stream.read() < 0) {
                throw new IOException("status " + response.statusCode() + " from " + target);
            }
            firstTokenNanos.recordValue(System.nanoTime() - start);
            String rest = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            if (!rest.contains("\"finish_reason\":\"stop\"")) {
                throw new IOException("an answer from " + target + " is incomplete");
            }
            responseNanos.recordValue(System.nanoTime() - start);
        }
    }
}
