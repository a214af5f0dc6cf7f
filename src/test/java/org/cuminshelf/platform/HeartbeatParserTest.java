package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;

/** Valid and invalid heartbeats of upstreams. */
class HeartbeatParserTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HEARTBEAT = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
            + "\"slots\":6,\"state\":\"ready\",\"sequence\":4,\"born\":1786708249123}";

    private static Either<String, UpstreamBeat> parse(String document) {
        return HeartbeatParser.parse("i-1", document.getBytes(StandardCharsets.UTF_8));
    }

    @Example
    void aHeartbeatIsParsedAndUnknownFieldsAreIgnored() {
        UpstreamBeat beat = parse("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
                        + "\"slots\":64,\"state\":\"draining\",\"coldLeftMs\":5,\"stage\":\"decode\","
                        + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":4,"
                        + "\"born\":1786708249123,\"later\":{}}")
                .get();
        assertThat(beat.getName()).isEqualTo("i-1");
        assertThat(beat.getBornMs()).isEqualTo(1_786_708_249_123L);
        assertThat(beat.getLeaving()).isTrue();
        assertThat(beat.getRole()).isEqualTo(Role.ROLE_DECODE);
        assertThat(beat.getSlots()).isEqualTo(64);
        assertThat(beat.getSequence()).isEqualTo(4);
        assertThat(beat.getModelsList()).containsExactly("m");
    }

    @Example
    void aPlainServiceHasNoRole() {
        UpstreamBeat beat = parse(HEARTBEAT).get();
        assertThat(beat.getRole()).isEqualTo(Role.ROLE_MIXED);
        assertThat(beat.getLeaving()).isFalse();
    }

    @Example
    void aDocumentThatIsNotAHeartbeatIsRejectedWithAReason() {
        assertThat(parse("{\"service\":").getLeft()).contains("no JSON");
        assertThat(parse("[]").getLeft()).contains("no JSON object");
        assertThat(parse("{\"service\":\"s\"}").getLeft()).contains("'address' must be a text");
        assertThat(parse("").getLeft()).contains("heartbeat");
    }

    /*
     * Requests were sent to an address where nobody listens, because the valid fields of another program's heartbeat
     * were used. A heartbeat with one field missing, of a wrong type or with an unknown value must be rejected as a
     * whole.
     */
    @Property(tries = 300, seed = "51")
    void aHeartbeatWithOneInvalidFieldIsRejected(
            @ForAll("fields") String field, @ForAll("spoiled") Optional<JsonNode> value) throws IOException {
        Assume.that(!field.equals("born") || value.isPresent());
        ObjectNode document = (ObjectNode) JSON.readTree(HEARTBEAT);
        document.remove(field);
        value.ifPresent(other -> document.set(field, other));
        assertThat(parse(document.toString()).isLeft()).isTrue();
    }

    @Provide
    Arbitrary<String> fields() {
        return Arbitraries.of("service", "address", "zone", "state", "sequence", "slots", "born");
    }

    @Provide
    Arbitrary<Optional<JsonNode>> spoiled() {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return Arbitraries.of(
                Optional.empty(),
                Optional.of(nodes.nullNode()),
                Optional.of(nodes.numberNode(1.5)),
                Optional.of(nodes.numberNode(-3)),
                Optional.of(nodes.numberNode(new BigInteger("99999999999999999999"))),
                Optional.of(nodes.booleanNode(true)),
                Optional.of(nodes.textNode("")),
                Optional.of(nodes.arrayNode().add("s")),
                Optional.of(nodes.objectNode()));
    }

    @Example
    void anUpstreamThatTakesANewNameAtEachStartMayOmitItsStartTime() {
        UpstreamBeat beat =
                parse(HEARTBEAT.replace(",\"born\":1786708249123", "")).get();
        assertThat(beat.getBornMs()).isZero();
    }

    @Example
    void anUnknownStateOrRoleIsRejected() {
        assertThat(parse(HEARTBEAT.replace("ready", "resting")).getLeft()).contains("'state'");
        assertThat(parse(HEARTBEAT.replace("}", ",\"stage\":\"sleep\"}")).getLeft())
                .contains("'stage'");
        assertThat(parse(HEARTBEAT.replace("}", ",\"stage\":7}")).getLeft()).contains("'stage'");
    }

    @Property(tries = 300, seed = "52")
    void arbitraryBytesAreRejected(@ForAll byte[] bytes) {
        assertThat(HeartbeatParser.parse("i-1", bytes).isLeft()).isTrue();
    }

    @Property(tries = 200, seed = "53")
    void aTruncatedHeartbeatIsRejected(@ForAll @IntRange(max = 100) int length) {
        assertThat(parse(HEARTBEAT.substring(0, length)).isLeft()).isTrue();
    }

    @Example
    void logLinesAboutRejectedHeartbeatsAreLimited() {
        long[] now = {0};
        RejectedHeartbeats rejected = RejectedHeartbeats.register(new PrometheusRegistry(), () -> now[0]);
        int lines = 0;
        for (int index = 0; index < 100; index++) {
            lines += rejected.countAndLog("x".repeat(10_000), "it is no JSON") ? 1 : 0;
        }
        assertThat(lines).isEqualTo(2);
        now[0] += 1_000_000_000L;
        assertThat(rejected.countAndLog("x", "it is no JSON")).isTrue();
    }
}
