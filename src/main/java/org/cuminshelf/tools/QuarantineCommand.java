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

/** Lists the requests that are refused because upstreams crash when they run them, and releases one. */
final class QuarantineCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String RELEASE = "release";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

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
        return "list the requests that are refused as upstreams crash when they run them, or release one";
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument("action").choices("list", RELEASE).help("what to do");
        parser.addArgument("fingerprint")
                .nargs("?")
                .setDefault("")
                .help("the request to release, as the list names it");
        Flags.add(parser, "reason", "why the request may run again", "");
        Flags.add(parser, "author", "who releases it, where no key tells", System.getProperty("user.name", ""));
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        AdminClient.describe(parser);
    }

    @Override
    public int run(Namespace flags) throws Exception {
        boolean release = flags.getString("action").equals(RELEASE);
        if (release && Flags.text(flags, "fingerprint").isEmpty()) {
            throw new UsageException("name the fingerprint of the request to release");
        }
        if (release && Flags.text(flags, "reason").isEmpty()) {
            throw new UsageException("say with --reason why the request may run again");
        }
        try (AdminClient admin = AdminClient.open(flags)) {
            return release ? release(admin, flags) : list(admin, flags);
        }
    }

    private static int list(AdminClient admin, Namespace flags) throws Exception {
        AdminClient.Answer answer = admin.get(QuarantineJson.LIST_PATH);
        if (answer.status() != OK) {
            return refused(answer);
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
        if (answer.status() != OK) {
            return refused(answer);
        }
        System.out.println("Released; all entries serve it again within seconds.");
        return ExitCode.SUCCESS;
    }

    private static int refused(AdminClient.Answer answer) {
        System.err.println("Refused with status " + answer.status() + ": "
                + answer.body()
                        .path("detail")
                        .asText(answer.body().path("error").asText()));
        return answer.status() == UNAVAILABLE ? ExitCode.UNAVAILABLE : ExitCode.FAILURE;
    }
}
