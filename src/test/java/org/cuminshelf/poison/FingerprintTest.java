package org.cuminshelf.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests which requests are equal. */
class FingerprintTest {

    private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);

    private static Fingerprint of(String method, String host, String target, String caller, byte[] body) {
        return Fingerprint.of(method, host, target, caller, body);
    }

    @Example
    void equalPartsGiveEqualFingerprints() {
        assertThat(of("POST", "h", "/a", "c", BODY.clone())).isEqualTo(of("POST", "h", "/a", "c", BODY));
    }

    /* Guards against a harmless request that is refused in place of a poison one which differs in one part only. */
    @Example
    void aDifferenceInAnyPartChangesTheFingerprint() {
        Fingerprint one = of("POST", "h", "/a", "c", BODY);
        assertThat(one).isNotEqualTo(of("GET", "h", "/a", "c", BODY));
        assertThat(one).isNotEqualTo(of("POST", "i", "/a", "c", BODY));
        assertThat(one).isNotEqualTo(of("POST", "h", "/b", "c", BODY));
        assertThat(one).isNotEqualTo(of("POST", "h", "/a", "d", BODY));
        assertThat(one).isNotEqualTo(of("POST", "h", "/a", "c", "Body".getBytes(StandardCharsets.UTF_8)));
        assertThat(of("POST", "h", "/ac", "", BODY)).isNotEqualTo(of("POST", "h", "/a", "c", BODY));
    }

    @Property
    void aWrittenFingerprintIsParsed(@ForAll long high, @ForAll long low) {
        Fingerprint one = new Fingerprint(high, low);
        assertThat(Fingerprint.parse(one.toString())).contains(one);
    }

    @Example
    void malformedTextsAreRejected() {
        assertThat(Fingerprint.parse("")).isEmpty();
        assertThat(Fingerprint.parse("0123")).isEmpty();
        assertThat(Fingerprint.parse("x".repeat(32))).isEmpty();
    }
}
