package org.cuminshelf.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.http.QuarantineJson;

/** Lists the requests that are refused because they crash upstreams, or releases one. */
final class QuarantineCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String RELEASE = "release";
    private static final String WHOLE_REQUEST = "request";
    private static final int HTTP_OK = 200;
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private QuarantineCommand() {}

    static QuarantineCommand create() {
        return new QuarantineCommand();
    }

    @Override
    public String name() {
        return "quarantine";
    }

    @Override
    public String summary() {
        return "list the requests that are refused because they crash upstreams, or release one";
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument("action")
                .choices("list", RELEASE)
                .help("list: show the quarantined requests; release: let one run again");
        parser.addArgument("fingerprint")
                .nargs("?")
                .setDefault("")
                .help("fingerprint of the request to release, as the list shows it");
        Flags.add(parser, "reason", "why the request may run again", "");
        Flags.add(
                parser,
                "author",
                "who releases the request, if no API key identifies the operator",
                System.getProperty("user.name", ""));
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        AdminClient.describe(parser);
    }

    @Override
    public int run(Namespace flags) throws Exception {
        boolean release = flags.getString("action").equals(RELEASE);
        if (release && Flags.text(flags, "fingerprint").isEmpty()) {
            throw new UsageException("the fingerprint of the request to release is missing");
        }
        if (release && Flags.text(flags, "reason").isEmpty()) {
            throw new UsageException("--reason is missing: state why the request may run again");
        }
        try (AdminClient admin = AdminClient.open(flags)) {
            return release ? release(admin, flags) : list(admin, flags);
        }
    }

    private static int list(AdminClient admin, Namespace flags) throws Exception {
        AdminClient.Answer answer = admin.get(QuarantineJson.LIST_PATH);
        if (answer.status() != HTTP_OK) {
            return reportRefusal(answer);
        }
        if (Boolean.TRUE.equals(flags.getBoolean("json"))) {
            System.out.println(answer.body().toPrettyString());
            return ExitCode.SUCCESS;
        }
        JsonNode requests = answer.body().path("requests");
        System.out.println(requests.size() + " requests");
        requests.forEach(QuarantineCommand::print);
        return ExitCode.SUCCESS;
    }

    private static void print(JsonNode request) {
        System.out.printf(
                "%s  %-11s %d crashes, found by %s at %s%n",
                request.path("fingerprint").asText(),
                request.path("state").asText(),
                request.path("crashed_upstreams").size(),
                request.path("found_by").asText(),
                Instant.ofEpochMilli(request.path("found_ms").asLong()));
        if (!request.path("kind").asText().equals(WHOLE_REQUEST)) {
            System.out.printf(
                    "    all requests with %s; failed trials: %d%n",
                    request.path("description").asText(),
                    request.path("failed_trials").asInt());
        }
        if (request.has("reason")) {
            System.out.printf(
                    "    released by %s: %s%n",
                    request.path("released_by").asText(), request.path("reason").asText());
        }
    }

    private static int release(AdminClient admin, Namespace flags) throws Exception {
        ObjectNode body = JSON.createObjectNode()
                .put("fingerprint", Flags.text(flags, "fingerprint"))
                .put("reason", Flags.text(flags, "reason"))
                .put("author", Flags.text(flags, "author"));
        AdminClient.Answer answer =
                admin.post(QuarantineJson.RELEASE_PATH, body.toString().getBytes(StandardCharsets.UTF_8));
        if (answer.status() != HTTP_OK) {
            return reportRefusal(answer);
        }
        System.out.println("Released; all entries serve it again within seconds.");
        return ExitCode.SUCCESS;
    }

    private static int reportRefusal(AdminClient.Answer answer) {
        System.err.println("Refused with status " + answer.status() + ": "
                + answer.body()
                        .path("detail")
                        .asText(answer.body().path("error").asText()));
        return answer.status() == HTTP_SERVICE_UNAVAILABLE ? ExitCode.UNAVAILABLE : ExitCode.FAILURE;
    }
}
