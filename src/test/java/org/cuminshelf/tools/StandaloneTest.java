package org.cuminshelf.tools;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.cuminshelf.http.CallerApiHandler;
import org.cuminshelf.http.Problem;
import org.cuminshelf.standin.EngineSpeed;
import org.cuminshelf.standin.StandInText;

/** Requests that pass through entry, sidecar and stand-in upstream in one process, with a control process. */
class StandaloneTest {

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static Standalone system;

    @BeforeContainer
    static void start() throws Exception {
        system = Standalone.start(new Standalone.Options(
                Files.createTempDirectory("standalone"), 0, 0, 2, EngineSpeed.instant(), "key", Optional.empty()));
        StandaloneCommand.configure(system, "key");
    }

    @AfterContainer
    static void stop() throws Exception {
        assertThat(system.entry().invariantBreaches()).isZero();
        assertThat(system.stopGracefully()).isTrue();
    }

    @Example
    void aStreamedCompletionGivesEachTokenOnceAndInOrder() throws Exception {
        String body = post(
                        "/v1/completions",
                        "{\"model\":\"cataloguer\",\"prompt\":\"A title\",\"max_tokens\":40," + "\"stream\":true}")
                .body();
        StringBuilder text = new StringBuilder();
        body.lines()
                .filter(line -> line.contains("\"text\":\""))
                .forEach(line -> text.append(line.replaceAll(".*\"text\":\"([^\"]*)\".*", "$1")));
        assertThat(text).hasToString(String.join("", StandInText.answer("A title", 40)));
        assertThat(body).endsWith("data: [DONE]\n\n");
    }

    @Example
    void aChatCompletionWithoutStreamingReportsItsTokenCount() throws Exception {
        HttpResponse<String> answer = post(
                "/v1/chat/completions",
                "{\"model\":\"cataloguer\",\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
        int tokens = StandInText.answer("user: hi\n", 12).size();
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).contains("\"completion_tokens\":" + tokens);
        assertThat(answer.headers().firstValue(Problem.VERDICT_HEADER)).contains("ran");
    }

    /*
     * Guards against a second run when a caller did not receive its answer and sends its request again with the same
     * key. The caller must get the first answer again, and the registry must have run the request once.
     */
    @Example
    void aRetryWithTheSameKeyGetsTheSameAnswerAndRunsOnce() throws Exception {
        String first = postWithKey("A book", "key-1").body();
        String second = postWithKey("A book", "key-1").body();
        assertThat(second).isEqualTo(first);
        assertThat(system.service().runs()).containsEntry("A book", 1);
    }

    @Example
    void aKeyReusedWithAnotherBodyIsAConflictThatDidNotRun() throws Exception {
        postWithKey("One title", "key-2");
        HttpResponse<String> answer = postWithKey("Another title", "key-2");
        assertThat(answer.statusCode()).isEqualTo(422);
        assertThat(answer.body()).contains("\"verdict\":\"not-run\"");
        assertThat(system.service().runs()).doesNotContainKey("Another title");
    }

    @Example
    void anUnknownModelAndAnUnknownServiceGetDifferentErrors() throws Exception {
        assertThat(post("/v1/completions", "{\"model\":\"nobody\",\"prompt\":\"x\"}")
                        .body())
                .contains("unknown model");
        assertThat(post("/services/nobody/", "x").body()).contains("unknown service");
    }

    @Example
    void aBodyThatIsNotJsonIsRefusedWithTheReason() throws Exception {
        HttpResponse<String> answer = post("/v1/completions", "{\"model\":");
        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(answer.body()).contains("not JSON").contains("not-run");
    }

    @Example
    void aBodyThatIsTooLargeIsRefused() throws Exception {
        HttpResponse<String> answer = post("/v1/completions", "x".repeat(5 << 20));
        assertThat(answer.statusCode()).isEqualTo(413);
        assertThat(answer.body()).contains("larger than 4 MiB").contains("not-run");
    }

    @Example
    void aPriorityOutOfRangeIsRefusedWithTheValidRange() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri("/services/registry/numbers"))
                .header(CallerApiHandler.PRIORITY_HEADER, "12")
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        HttpResponse<String> answer = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(answer.body()).contains("from 0 to 9");
    }

    /*
     * Guards against running an incomplete request. The connection of a caller breaks before the body has the length
     * that Content-Length states; the received part must not run, and other callers must be served.
     */
    @Example
    void anIncompleteRequestDoesNotRun() throws Exception {
        try (java.net.Socket socket = new java.net.Socket("127.0.0.1", system.callersPort())) {
            String incompleteRequest =
                    "POST /services/registry/numbers HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nHalf a title";
            socket.getOutputStream().write(incompleteRequest.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }
        postWithKey("A whole title", "key-3");
        assertThat(system.service().runs()).containsKey("A whole title").doesNotContainKey("Half a title");
    }

    @Example
    void operatorCommandsNeedAValidKey() throws Exception {
        String admin = "http://127.0.0.1:" + system.adminPort();
        assertThat(Main.run("status", "--admin", admin, "--key", "wrong")).isEqualTo(ExitCode.FAILURE);
        assertThat(Main.run("status", "--admin", admin, "--key", "key")).isEqualTo(ExitCode.SUCCESS);
        assertThat(Main.run("order", "nobody", "--change-role", "decode", "--admin", admin, "--key", "key"))
                .isEqualTo(ExitCode.FAILURE);
        assertThat(Main.run("status", "--admin", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(Main.run("quarantine", "list", "--admin", admin, "--key", "key"))
                .isEqualTo(ExitCode.SUCCESS);
        String unknownFingerprint = "0".repeat(32);
        assertThat(Main.run(
                        "quarantine", "release", unknownFingerprint, "--reason", "x", "--admin", admin, "--key", "key"))
                .isEqualTo(ExitCode.FAILURE);
        assertThat(Main.run("quarantine", "release", unknownFingerprint, "--admin", admin, "--key", "key"))
                .isEqualTo(ExitCode.USAGE);
        assertThat(Main.run("quarantine", "release", "--reason", "x", "--admin", admin, "--key", "key"))
                .isEqualTo(ExitCode.USAGE);
        assertThat(Main.run("quarantine", "release", "zz", "--reason", "x", "--admin", admin, "--key", "key"))
                .isEqualTo(ExitCode.FAILURE);
    }

    /*
     * Guards against reporting a broken upstream when the service only rejected the caller's credentials. This
     * happens if the HTTP client of the upstream handles a status 401 without a challenge itself.
     */
    @Example
    void aResponseOfAPlainServiceIsForwardedUnchanged() throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri("/services/registry/closed")).build();
        HttpResponse<String> answer = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(401);
        assertThat(answer.body()).isEqualTo("closed");
    }

    @Example
    void anInvalidFlagValueOrUnknownCommandIsAUsageError() {
        assertThat(Main.run("standalone", "--engines", "none")).isEqualTo(ExitCode.USAGE);
        assertThat(Main.run("no-such-command")).isEqualTo(ExitCode.USAGE);
    }

    private static HttpResponse<String> post(String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static HttpResponse<String> postWithKey(String title, String key) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri("/services/registry/numbers"))
                .header(CallerApiHandler.IDEMPOTENCY_KEY_HEADER, key)
                .POST(HttpRequest.BodyPublishers.ofString(title))
                .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(String path) {
        return URI.create("http://127.0.0.1:" + system.callersPort() + path);
    }
}
