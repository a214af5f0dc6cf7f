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
 * The heartbeat of an upstream.
 *
 * <p>Failure it guards against: a heartbeat comes from another program, or was spoiled on its way. Taken as far as it
 * can be read, it would name an upstream that isn't there, or give one that is another role or another start; requests
 * sent on that word are lost. So a heartbeat is taken whole or not at all, and what was known before holds.
 */
final class HeartbeatParser {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final String PREFILL = "prefill";
    private static final String DECODE = "decode";
    private static final int HIGHEST_PORT = 65_535;

    private HeartbeatParser() {}

    /**
     * Reads a heartbeat.
     *
     * @param name     the name under which the upstream announces itself
     * @param document the bytes sent
     * @return the heartbeat, or what is wrong with it
     */
    static Either<String, UpstreamBeat> read(String name, byte[] document) {
        JsonNode root;
        try {
            root = JSON.readTree(document);
        } catch (IOException e) {
            return Either.left("the heartbeat is no JSON");
        }
        if (root == null || !root.isObject()) {
            return Either.left("the heartbeat is no JSON object");
        }
        return problem(name, root)
                .<Either<String, UpstreamBeat>>map(Either::left)
                .orElseGet(() -> Either.right(beat(name, root)));
    }

    private static Optional<String> problem(String name, JsonNode root) {
        if (name.isEmpty()) {
            return Optional.of("the heartbeat names no upstream");
        }
        for (String text : List.of("service", "address", "zone", "state")) {
            if (!root.path(text).isTextual() || root.path(text).textValue().isEmpty()) {
                return Optional.of("'" + text + "' must be a text");
            }
        }
        for (String number : List.of("sequence", "slots")) {
            if (!isWhole(root.path(number))) {
                return Optional.of("'" + number + "' must be a whole number");
            }
        }
        // Where upstreams take a new name with each start they don't say when it was.
        if (root.has("born") && !isWhole(root.path("born"))) {
            return Optional.of("'born' must be a whole number");
        }
        if (!isAddress(root.path("address").textValue())) {
            return Optional.of("'address' must be an IP address and a port");
        }
        if (!Set.of(READY, DRAINING).contains(root.path("state").textValue())) {
            return Optional.of("'state' is unknown");
        }
        if (root.has("stage")
                && !Set.of(PREFILL, DECODE).contains(root.path("stage").asText())) {
            return Optional.of("'stage' is unknown");
        }
        return Optional.empty();
    }

    private static boolean isWhole(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
    }

    private static boolean isAddress(String text) {
        try {
            HostPort address = new HostPort(text);
            return !address.getHost().isEmpty() && address.getPort() > 0 && address.getPort() <= HIGHEST_PORT;
        } catch (IllegalArgumentException e) {
            // It is reported as a heartbeat that is refused.
            return false;
        }
    }

    private static UpstreamBeat beat(String name, JsonNode root) {
        UpstreamBeat.Builder beat = UpstreamBeat.newBuilder()
                .setName(name)
                .setBornMs(root.path("born").asLong(0))
                .setService(root.path("service").textValue())
                .setAddress(root.path("address").textValue())
                .setZone(root.path("zone").textValue())
                .setSequence(root.path("sequence").longValue())
                .setLeaving(DRAINING.equals(root.path("state").textValue()))
                .setSlots(Math.max(1, root.path("slots").intValue()))
                .setColdMs(root.path("coldLeftMs").asInt(0))
                .setRole(role(root.path("stage").asText("")));
        root.path("models").forEach(model -> beat.addModels(model.path("name").asText("")));
        return beat.build();
    }

    private static Role role(String stage) {
        return switch (stage) {
            case PREFILL -> Role.ROLE_PREFILL;
            case DECODE -> Role.ROLE_DECODE;
            default -> Role.ROLE_MIXED;
        };
    }
}
