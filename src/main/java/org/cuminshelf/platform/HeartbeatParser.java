package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;
import org.eclipse.jetty.util.HostPort;

/**
 * Parses the JSON heartbeats of upstreams.
 *
 * <p>A heartbeat may come from another program or be corrupted in transit. If its valid fields were used, it could
 * register an upstream that doesn't exist, or give an existing one a wrong role or instance, and requests routed by it
 * would be lost. So a heartbeat with any invalid field is rejected as a whole, and the last valid one stays in force.
 */
final class HeartbeatParser {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STATE_READY = "ready";
    private static final String STATE_DRAINING = "draining";
    private static final String STAGE_PREFILL = "prefill";
    private static final String STAGE_DECODE = "decode";
    private static final int MAX_PORT = 65_535;

    private HeartbeatParser() {}

    /**
     * Parses a heartbeat.
     *
     * @param name     the name under which the upstream registers itself
     * @param document the request body
     * @return the heartbeat, or the reason why it is invalid
     */
    static Either<String, UpstreamBeat> parse(String name, byte[] document) {
        JsonNode root;
        try {
            root = JSON.readTree(document);
        } catch (IOException e) {
            return Either.left("the heartbeat is no JSON");
        }
        if (root == null || !root.isObject()) {
            return Either.left("the heartbeat is no JSON object");
        }
        return validationError(name, root)
                .<Either<String, UpstreamBeat>>map(Either::left)
                .orElseGet(() -> Either.right(toMessage(name, root)));
    }

    private static Optional<String> validationError(String name, JsonNode root) {
        if (name.isEmpty()) {
            return Optional.of("the heartbeat names no upstream");
        }
        for (String field : List.of("service", "address", "zone", "state")) {
            if (!root.path(field).isTextual() || root.path(field).textValue().isEmpty()) {
                return Optional.of("'" + field + "' must be a text");
            }
        }
        for (String field : List.of("sequence", "slots")) {
            if (!isNonNegativeLong(root.path(field))) {
                return Optional.of("'" + field + "' must be a whole number");
            }
        }
        // Upstreams that take a new name at each start omit their start time.
        if (root.has("born") && !isNonNegativeLong(root.path("born"))) {
            return Optional.of("'born' must be a whole number");
        }
        if (root.has("version") && !root.path("version").isTextual()) {
            return Optional.of("'version' must be a text");
        }
        if (!isHostAndPort(root.path("address").textValue())) {
            return Optional.of("'address' must be an IP address and a port");
        }
        if (!Set.of(STATE_READY, STATE_DRAINING).contains(root.path("state").textValue())) {
            return Optional.of("'state' is unknown");
        }
        if (root.has("stage")
                && !Set.of(STAGE_PREFILL, STAGE_DECODE)
                        .contains(root.path("stage").asText())) {
            return Optional.of("'stage' is unknown");
        }
        return Optional.empty();
    }

    private static boolean isNonNegativeLong(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
    }

    private static boolean isHostAndPort(String text) {
        try {
            HostPort address = new HostPort(text);
            return !address.getHost().isEmpty() && address.getPort() > 0 && address.getPort() <= MAX_PORT;
        } catch (IllegalArgumentException e) {
            // The caller rejects the heartbeat and logs the reason.
            return false;
        }
    }

    private static UpstreamBeat toMessage(String name, JsonNode root) {
        UpstreamBeat.Builder beat = UpstreamBeat.newBuilder()
                .setName(name)
                .setBornMs(root.path("born").asLong(0))
                .setService(root.path("service").textValue())
                .setAddress(root.path("address").textValue())
                .setZone(root.path("zone").textValue())
                .setSequence(root.path("sequence").longValue())
                .setLeaving(STATE_DRAINING.equals(root.path("state").textValue()))
                .setSlots(Math.max(1, root.path("slots").intValue()))
                .setColdMs(root.path("coldLeftMs").asInt(0))
                .setRole(role(root.path("stage").asText("")))
                .setVersion(root.path("version").asText(""));
        root.path("models").forEach(model -> beat.addModels(model.path("name").asText("")));
        return beat.build();
    }

    private static Role role(String stage) {
        return switch (stage) {
            case STAGE_PREFILL -> Role.ROLE_PREFILL;
            case STAGE_DECODE -> Role.ROLE_DECODE;
            default -> Role.ROLE_MIXED;
        };
    }
}
