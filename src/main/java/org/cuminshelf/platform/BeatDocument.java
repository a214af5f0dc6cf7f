package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;

/** The heartbeat of an upstream. */
final class BeatDocument {

    private static final ObjectMapper JSON = new ObjectMapper();

    private BeatDocument() {}

    /** Reads a heartbeat; the text says what is wrong with it. */
    static Either<String, UpstreamBeat> read(String id, byte[] document) {
        JsonNode root;
        try {
            root = JSON.readTree(document);
        } catch (IOException e) {
            return Either.left("the heartbeat is no JSON: " + e.getMessage());
        }
        if (root == null
                || !root.path("service").isTextual()
                || !root.path("address").isTextual()) {
            return Either.left("the heartbeat must name 'service' and 'address'");
        }
        UpstreamBeat.Builder beat = UpstreamBeat.newBuilder()
                .setId(id)
                .setService(root.path("service").textValue())
                .setAddress(root.path("address").textValue())
                .setZone(root.path("zone").asText(""))
                .setSequence(root.path("sequence").asLong(0))
                .setLeaving("draining".equals(root.path("state").textValue()))
                .setSlots(root.path("slots").asInt(1))
                .setColdMs(root.path("coldLeftMs").asInt(0))
                .setRole(role(root.path("stage").asText("")));
        root.path("models").forEach(model -> beat.addModels(model.path("name").asText("")));
        return Either.right(beat.build());
    }

    private static Role role(String stage) {
        return switch (stage) {
            case "prefill" -> Role.ROLE_PREFILL;
            case "decode" -> Role.ROLE_DECODE;
            default -> Role.ROLE_MIXED;
        };
    }
}
