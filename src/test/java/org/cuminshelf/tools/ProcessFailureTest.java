package org.cuminshelf.tools;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.cuminshelf.http.CallerApiHandler;
import org.cuminshelf.standin.StandInText;

/** Kills, suspends, stops and restarts operating system processes on loopback under load. */
class ProcessFailureTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 60;
    private static final int TOKENS_PER_DRAFT = 30;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final AtomicBoolean stop = new AtomicBoolean();
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger titlesNumbered = new AtomicInteger();
    private final AtomicInteger completedStreams = new AtomicInteger();
    private final AtomicInteger mixedUpAnswers = new AtomicInteger();
    private final AtomicInteger truncatedStreams = new AtomicInteger();
    private final AtomicInteger titlesWithoutAnswer = new AtomicInteger();
    private final AtomicInteger titlesUnresolved = new AtomicInteger();
    private final Map<String, Long> numbersByTitle = new ConcurrentHashMap<>();

    /*
     * Guards against a title without an answer, a title that runs twice, an answer to another request, and a truncated
     * draft when processes fail. Under load, the leading control process and a sidecar of each kind are killed, an
     * engine's sidecar and a control process are suspended, and an entry is stopped gracefully; each is then restarted
     * or resumed.
     */
    @Example
    void noRequestIsLostDuplicatedMixedUpOrTruncatedWhileProcessesFail() throws Exception {
        try (MultiProcessDeployment deployment = new MultiProcessDeployment()) {
            deployment.startAll();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                callers.add(Thread.ofPlatform().start(() -> assignNumbers(deployment.callersPorts())));
                callers.add(Thread.ofPlatform()
                        .start(() -> streamDrafts(deployment.callersPorts().getFirst())));
            }
            injectFailures(deployment);
            stop.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            check(deployment);
        }
    }

    private void injectFailures(MultiProcessDeployment deployment) throws Exception {
        runUnderLoad();
        String leader = deployment.leader("region");
        deployment.kill(leader);
        runUnderLoad();
        deployment.start(leader);
        deployment.kill("engine-sidecar-0");
        runUnderLoad();
        deployment.start("engine-sidecar-0");
        runUnderLoad();
        deployment.signal("engine-sidecar-1", "STOP");
        runUnderLoad();
        runUnderLoad();
        deployment.signal("engine-sidecar-1", "CONT");
        deployment.kill("service-sidecar");
        runUnderLoad();
        deployment.start("service-sidecar");
        String secondLeader = deployment.leader("region");
        deployment.signal(secondLeader, "STOP");
        runUnderLoad();
        deployment.signal(secondLeader, "CONT");
        assertThat(deployment.stopGracefully("entry-1")).isZero();
        runUnderLoad();
        deployment.start("entry-1");
        runUnderLoad();
        runUnderLoad();
    }

    /** Lets the load continue for a while; no assertion depends on the duration. */
    private static void runUnderLoad() throws InterruptedException {
        Thread.sleep(1_500);
    }

    private void check(MultiProcessDeployment deployment) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + deployment.servicePort() + "/runs"))
                .build();
        JsonNode runs = JSON.readTree(
                client.send(request, HttpResponse.BodyHandlers.ofString()).body());
        int duplicated = 0;
        for (JsonNode count : runs) {
            duplicated += count.asInt() > 1 ? 1 : 0;
        }
        System.out.println(titlesNumbered + " titles numbered, " + titlesUnresolved + " told they may have run, "
                + completedStreams + " drafts; lost " + titlesWithoutAnswer + ", doubled " + duplicated + ", mixed "
                + mixedUpAnswers + ", cut " + truncatedStreams);
        assertThat(titlesNumbered.get())
                .as("titles numbered; logs in " + deployment.workFolder())
                .isPositive();
        assertThat(completedStreams.get()).isPositive();
        assertThat(titlesWithoutAnswer.get()).isZero();
        assertThat(duplicated).isZero();
        assertThat(mixedUpAnswers.get()).isZero();
        assertThat(truncatedStreams.get()).isZero();
        assertThat(numbersByTitle.values()).doesNotHaveDuplicates();
    }

    private void assignNumbers(List<Integer> ports) {
        while (!stop.get()) {
            int id = nextId.incrementAndGet();
            assignNumber("title-" + id, ports, id);
        }
    }

    /** Sends one title until it has a number, or until the answer states that its outcome is unknown. */
    private void assignNumber(String title, List<Integer> ports, int firstPort) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                int port = ports.get((firstPort + attempt) % ports.size());
                HttpResponse<String> answer =
                        client.send(numberRequest(port, title), HttpResponse.BodyHandlers.ofString());
                JsonNode body = JSON.readTree(answer.body());
                if (answer.statusCode() == 200) {
                    titlesNumbered.incrementAndGet();
                    mixedUpAnswers.addAndGet(body.path("title").asText().equals(title) ? 0 : 1);
                    numbersByTitle.put(title, body.path("number").asLong());
                    return;
                }
                if (body.path("title").asText().equals("key unresolved")) {
                    titlesUnresolved.incrementAndGet();
                    return;
                }
                Thread.sleep(200);
            } catch (IOException brokenConnection) {
                // The outcome is unknown to the caller, which sends the request again with the same key.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        titlesWithoutAnswer.incrementAndGet();
    }

    private static HttpRequest numberRequest(int port, String title) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/services/registry/numbers"))
                .header(CallerApiHandler.IDEMPOTENCY_KEY_HEADER, "key of " + title)
                .timeout(Duration.ofSeconds(30))
                .POST(HttpRequest.BodyPublishers.ofString(title))
                .build();
    }

    private void streamDrafts(int port) {
        while (!stop.get()) {
            String prompt = "draft " + nextId.incrementAndGet();
            try {
                streamDraft(port, prompt);
            } catch (IOException e) {
                truncatedStreams.incrementAndGet();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void streamDraft(int port, String prompt) throws IOException, InterruptedException {
        String body = "{\"model\":\"cataloguer\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + TOKENS_PER_DRAFT
                + ",\"stream\":true}";
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/completions"))
                .timeout(Duration.ofSeconds(90))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != 200) {
            // Refused before it ran, so the draft is neither lost nor truncated.
            Thread.sleep(100);
            return;
        }
        StringBuilder text = new StringBuilder();
        answer.body().lines().filter(line -> line.startsWith("data: {")).forEach(line -> text.append(parseToken(line)));
        boolean isComplete = answer.body().endsWith("data: [DONE]\n\n");
        boolean isExpectedText = text.toString().equals(String.join("", StandInText.answer(prompt, TOKENS_PER_DRAFT)));
        truncatedStreams.addAndGet(isComplete ? 0 : 1);
        mixedUpAnswers.addAndGet(isComplete && !isExpectedText ? 1 : 0);
        completedStreams.incrementAndGet();
    }

    private static String parseToken(String line) {
        try {
            return JSON.readTree(line.substring("data: ".length()))
                    .path("choices")
                    .path(0)
                    .path("text")
                    .asText();
        } catch (IOException e) {
            return "?";
        }
    }
}
