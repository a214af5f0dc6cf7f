package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;

/** Heartbeats of upstreams, good and bad. */
class BeatDocumentTest {

    private static Either<String, UpstreamBeat> read(String document) {
        return BeatDocument.read("i-1", document.getBytes(StandardCharsets.UTF_8));
    }

    @Example
    void aHeartbeatIsReadAndWhatIsUnknownIsIgnored() {
        UpstreamBeat beat = read("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
                        + "\"slots\":64,\"state\":\"draining\",\"coldLeftMs\":5,\"stage\":\"decode\","
                        + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":4,\"later\":{}}")
                .get();
        assertThat(beat.getId()).isEqualTo("i-1");
        assertThat(beat.getLeaving()).isTrue();
        assertThat(beat.getRole()).isEqualTo(Role.ROLE_DECODE);
        assertThat(beat.getSlots()).isEqualTo(64);
        assertThat(beat.getSequence()).isEqualTo(4);
        assertThat(beat.getModelsList()).containsExactly("m");
    }

    @Example
    void aPlainServiceHasNoRole() {
        UpstreamBeat beat = read("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\"}")
                .get();
        assertThat(beat.getRole()).isEqualTo(Role.ROLE_MIXED);
        assertThat(beat.getLeaving()).isFalse();
    }

    @Example
    void whatIsNoHeartbeatIsRefusedWithTheReason() {
        assertThat(read("{\"service\":").getLeft()).contains("no JSON");
        assertThat(read("[]").getLeft()).contains("'service' and 'address'");
        assertThat(read("{\"service\":\"s\"}").getLeft()).contains("'service' and 'address'");
        assertThat(read("").getLeft()).contains("heartbeat");
    }
}
