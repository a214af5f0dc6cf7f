package org.cuminshelf.tools;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Shows the state of the replication groups, the upstreams and the pending orders. */
final class StatusCommand implements Command {

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "show replication groups, upstreams, pending orders and the configuration in force";
    }

    @Override
    public void describe(Subparser parser) {
        AdminClient.describe(parser);
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        try (AdminClient admin = AdminClient.open(flags)) {
            AdminClient.Answer answer = admin.get("status");
            if (answer.status() != 200) {
                System.err.println("Refused with status " + answer.status() + ": "
                        + answer.body().path("detail").asText());
                return ExitCode.FAILURE;
            }
            if (Boolean.TRUE.equals(flags.getBoolean("json"))) {
                System.out.println(answer.body().toPrettyString());
            } else {
                print(answer.body());
            }
            return ExitCode.SUCCESS;
        }
    }

    private static void print(JsonNode status) {
        System.out.printf(
                "configuration: version %d accepted, %d in force everywhere (%d subscribers)%n",
                status.path("config_version").asLong(),
                status.path("lowest_version_in_force").asLong(),
                status.path("subscribers").asLong());
        System.out.printf(
                "claims: %d   role changes: %d%n",
                status.path("claims").asLong(), status.path("role_changes").asLong());
        for (JsonNode group : status.path("groups")) {
            System.out.printf(
                    "group %-12s %-9s term %d, commit %d, leader %s, %d replicas%n",
                    group.path("group").asText(),
                    group.path("role").asText(),
                    group.path("term").asLong(),
                    group.path("commit").asLong(),
                    group.path("leader").asText(),
                    group.path("voters").size());
        }
        for (JsonNode upstream : status.path("upstreams")) {
            String service = upstream.path("service").asText();
            System.out.printf(
                    "%-8s %-16s %-22s zone %-12s %s%s%n",
                    upstream.path("kind").asText(),
                    upstream.path("vm").asText(),
                    upstream.path("address").asText(),
                    upstream.path("zone").asText(),
                    service.isEmpty() ? upstream.path("role").asText() + " " + upstream.path("models") : service,
                    upstream.path("leaving").asBoolean() ? "  (takes no new work)" : "");
        }
        for (JsonNode order : status.path("pending_orders")) {
            System.out.printf(
                    "order %d to %s: %s, asked by %s%n",
                    order.path("number").asLong(),
                    order.path("engine").asText(),
                    order.path("kind").asText(),
                    order.path("requested_by").asText());
        }
    }
}
