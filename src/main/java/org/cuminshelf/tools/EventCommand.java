package org.cuminshelf.tools;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the events of the accepted configuration, and how many engines have loaded their models and adapters. */
final class EventCommand implements Command {

    @Override
    public String name() {
        return "event";
    }

    @Override
    public String summary() {
        return "list events, their start times, and how many engines have loaded their models and adapters";
    }

    @Override
    public void describe(Subparser parser) {
        AdminClient.describe(parser);
    }

    @Override
    public int run(Namespace flags) throws Exception {
        try (AdminClient admin = AdminClient.open(flags)) {
            AdminClient.Answer config = admin.get("config");
            AdminClient.Answer status = admin.get("status");
            if (config.status() != 200 || status.status() != 200) {
                System.err.println("Refused with status " + config.status() + ": "
                        + config.body().path("detail").asText());
                return ExitCode.FAILURE;
            }
            JsonNode events = config.body().path("config").path("events");
            for (Map.Entry<String, JsonNode> event : events.properties()) {
                print(event.getKey(), event.getValue(), status.body().path("upstreams"));
            }
            if (events.isEmpty()) {
                System.out.println("No events are configured.");
            }
            return ExitCode.SUCCESS;
        }
    }

    private static void print(String name, JsonNode event, JsonNode upstreams) {
        System.out.println(name + " opens " + event.path("start").asText());
        for (JsonNode model : event.path("models")) {
            System.out.println("  model " + model.asText() + ": " + countHolders(upstreams, "models", model)
                    + requiredEngines(event));
        }
        for (JsonNode adapter : event.path("adapters")) {
            System.out.println("  adapter " + adapter.asText() + ": " + countHolders(upstreams, "adapters", adapter)
                    + requiredEngines(event));
        }
    }

    private static String requiredEngines(JsonNode event) {
        return " of " + (event.has("engines") ? event.get("engines").asText() : "all") + " engines hold it";
    }

    private static int countHolders(JsonNode upstreams, String kind, JsonNode name) {
        int count = 0;
        for (JsonNode upstream : upstreams) {
            for (JsonNode loaded : upstream.path(kind)) {
                count += loaded.equals(name) ? 1 : 0;
            }
        }
        return count;
    }
}
