package org.cuminshelf.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.QuarantineList;
import org.cuminshelf.message.QuarantineRelease;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.Quarantine;
import org.cuminshelf.poison.RequestAttribute;

/** JSON of the administration endpoints for the quarantine: parses requests and encodes responses. */
public final class QuarantineJson {

    /** Path of the endpoint that lists the quarantine, relative to the prefix of the interface. */
    public static final String LIST_PATH = "quarantine";
    /** Path of the endpoint that releases a request, relative to the prefix of the interface. */
    public static final String RELEASE_PATH = "quarantine/release";

    private static final ObjectMapper JSON = new ObjectMapper();

    private QuarantineJson() {}

    /**
     * Creates a request for the list of quarantined requests.
     *
     * @return the request
     */
    public static AdminRequest.Builder listRequest() {
        return AdminRequest.newBuilder().setQuarantineList(QuarantineList.getDefaultInstance());
    }

    /**
     * Parses a request to release a quarantined request.
     *
     * @param body   JSON object with {@code fingerprint}, {@code reason} and, if no key identifies one, {@code author}
     * @param author author of the release, if a key identifies one
     * @return the request, or a description of the error in the body
     */
    public static Either<String, AdminRequest.Builder> releaseRequest(byte[] body, Optional<String> author) {
        JsonNode node;
        try {
            node = JSON.readTree(body);
        } catch (IOException e) {
            return Either.left("The body is not JSON: " + e.getMessage());
        }
        Optional<Fingerprint> fingerprint =
                Fingerprint.parse(node == null ? "" : node.path("fingerprint").asText(""));
        if (fingerprint.isEmpty()) {
            return Either.left("'fingerprint' must be the 32 hexadecimal digits that the list shows.");
        }
        String reason = node.path("reason").asText("").trim();
        if (reason.isEmpty()) {
            return Either.left("'reason' must say why the request may run again.");
        }
        String releaseAuthor = author.orElse(node.path("author").asText("").trim());
        if (releaseAuthor.isEmpty()) {
            return Either.left("'author' must name who releases it.");
        }
        return Either.right(AdminRequest.newBuilder()
                .setQuarantineRelease(QuarantineRelease.newBuilder()
                        .setHigh(fingerprint.get().high())
                        .setLow(fingerprint.get().low())
                        .setAuthor(releaseAuthor)
                        .setReason(reason)));
    }

    /**
     * Encodes the list of quarantined requests.
     *
     * @param answer answer to {@link #listRequest()}
     * @return JSON object with {@code requests}
     */
    public static ObjectNode of(AdminAnswer answer) {
        ObjectNode node = JSON.createObjectNode();
        ArrayNode requests = node.putArray("requests");
        answer.getQuarantinedList().forEach(row -> requests.add(requestNode(row)));
        return node;
    }

    private static ObjectNode requestNode(QuarantinedRequest row) {
        ObjectNode node = JSON.createObjectNode()
                .put("fingerprint", Quarantine.fingerprint(row).toString())
                .put("kind", row.getKind().name().toLowerCase(Locale.ROOT))
                .put("description", RequestAttribute.of(row).description())
                .put("state", row.getReleased() ? "released" : "quarantined")
                .put("times", row.getGeneration())
                .put("found_by", row.getFoundBy())
                .put("found_ms", row.getFoundMs())
                .put("failed_trials", row.getFailedTrials());
        ArrayNode upstreams = node.putArray("crashed_upstreams");
        row.getUpstreamsList().forEach(upstreams::add);
        if (row.getReleased()) {
            node.put("released_by", row.getReleasedBy())
                    .put("released_ms", row.getReleasedMs())
                    .put("reason", row.getReason());
        }
        return node;
    }
}
