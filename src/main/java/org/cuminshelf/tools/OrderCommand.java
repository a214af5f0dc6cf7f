package org.cuminshelf.tools;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Submits an order for one engine, or drains an upstream. */
final class OrderCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final boolean drain;

    private OrderCommand(boolean drain) {
        this.drain = drain;
    }

    static OrderCommand order() {
        return new OrderCommand(false);
    }

    static OrderCommand drain() {
        return new OrderCommand(true);
    }

    @Override
    public String name() {
        return drain ? "drain" : "order";
    }

    @Override
    public String summary() {
        return drain
                ? "stop sending new work to an upstream, or resume"
                : "change the role, model or adapters of one engine";
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument("engine").help("name of the VM of the upstream, or address of its sidecar");
        if (drain) {
            parser.addArgument("--undo").action(Arguments.storeTrue()).help("resume sending new work");
        } else {
            for (String kind : new String[] {"change-role", "load-model", "load-adapter", "unload-adapter"}) {
                parser.addArgument("--" + kind).dest(kind).setDefault("");
            }
        }
        AdminClient.describe(parser);
    }

    @Override
    public int run(Namespace flags) throws Exception {
        ObjectNode body = JSON.createObjectNode().put("engine", Flags.text(flags, "engine"));
        if (drain) {
            body.put("drain", !Boolean.TRUE.equals(flags.getBoolean("undo")));
        } else {
            for (String kind : new String[] {"change-role", "load-model", "load-adapter", "unload-adapter"}) {
                Flags.optional(flags, kind).ifPresent(value -> body.put(kind.replace('-', '_'), value));
            }
        }
        try (AdminClient admin = AdminClient.open(flags)) {
            AdminClient.Answer answer = admin.post("orders", body.toString().getBytes(StandardCharsets.UTF_8));
            if (answer.status() == 200) {
                System.out.println(
                        "Placed as order " + answer.body().path("version").asLong() + ".");
                return ExitCode.SUCCESS;
            }
            System.err.println("Refused with status " + answer.status() + ": "
                    + answer.body().path("detail").asText());
            return answer.status() == 503 ? ExitCode.UNAVAILABLE : ExitCode.FAILURE;
        }
    }
}
