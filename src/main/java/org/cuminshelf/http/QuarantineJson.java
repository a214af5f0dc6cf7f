package org.cuminshelf.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.QuarantineList;
import org.cuminshelf.message.QuarantineRelease;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.Quarantine;

/** The calls of operators about poison requests: what they ask for, and the answers, as JSON. */
public final class QuarantineJson {

    /** Path of the list, under the prefix of the interface. */
    public static final String LIST_PATH = "quarantine";
    /** Path of a release, under the prefix of the interface. */
    public static final String RELEASE_PATH = "quarantine/release";

    private static final ObjectMapper JSON = new ObjectMapper();

    private QuarantineJson() {}

    /**
     * Asks for the quarantine.
     *
     * @return the request
     */
    public static AdminRequest.Builder listRequest() {
        return AdminRequest.newBuilder().setQuarantineList(QuarantineList.getDefaultInstance());
    }

    /**
     * Reads a release.
     *
     * @param body   an object with {@code fingerprint} and {@code reason}, and {@code author} where no key names one
     * @param author who releases, where a key names it
     * @return the request, or what is wrong with the body
     */
    public static Either<String, AdminRequest.Builder> releaseRequest(byte[] body, Optional<String> author) {
        JsonNode node;
        try {
            node = JSON.readTree(body);
        } catch (IOException e) {
            return Either.left("The body is not JSON: " + e.getMessage());
        }
        Optional<Fingerprint> request =
                Fingerprint.parse(node == null ? "" : node.path("fingerprint").asText(""));
        if (request.isEmpty()) {
            return Either.left("'fingerprint' must be the 32 hexadecimal digits that the list shows.");
        }
        String reason = node.path("reason").asText("").trim();
        if (reason.isEmpty()) {
            return Either.left("'reason' must say why the request may run again.");
        }
        String by = author.orElse(node.path("author").asText("").trim());
        if (by.isEmpty()) {
            return Either.left("'author' must name who releases it.");
        }
        return Either.right(AdminRequest.newBuilder()
                .setQuarantineRelease(QuarantineRelease.newBuilder()
                        .setHigh(request.get().high())
                        .setLow(request.get().low())
                        .setAuthor(by)
                        .setReason(reason)));
    }

    /**
     * Writes the quarantine.
     *
     * @param answer the answer to {@link #listRequest()}
     * @return an object with {@code requests}
     */
    public static ObjectNode of(AdminAnswer answer) {
        ObjectNode node = JSON.createObjectNode();
        ArrayNode requests = node.putArray("requests");
        answer.getQuarantinedList().forEach(row -> requests.add(request(row)));
        return node;
    }

    private static ObjectNode request(QuarantinedRequest row) {
        ObjectNode node = JSON.createObjectNode()
                .put("fingerprint", Quarantine.fingerprint(row).toString())
                .put("state", row.getReleased() ? "released" : "quarantined")
                .put("times", row.getGeneration())
                .put("found_by", row.getFoundBy())
                .put("found_ms", row.getFoundMs());
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
