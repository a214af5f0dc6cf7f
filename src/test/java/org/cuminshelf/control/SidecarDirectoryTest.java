package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Announce;

/** Tests for how long upstreams stay listed whose sidecars announce nothing. */
class SidecarDirectoryTest {

    private static final Address SIDECAR = Address.of("10.0.2.1:7000");

    private final SidecarDirectory directory = new SidecarDirectory(1);
    private long now = Durations.nanos(10_000);

    private void advance(long millis) {
        now += Durations.nanos(millis);
        directory.tick(now);
    }

    private boolean isGone() {
        return directory.find(SIDECAR).orElseThrow().member.getGone();
    }

    /** Guards against sidecars that are all marked as gone in the first tick after a pause of control. */
    @Example
    void aPauseOfControlEndsNoLease() {
        directory.onAnnounce(now, SIDECAR, 1, Announce.getDefaultInstance());
        advance(250);
        advance(6_000);
        assertThat(isGone()).isFalse();
    }

    @Example
    void aSidecarThatStaysSilentAfterAPauseOfControlIsGone() {
        directory.onAnnounce(now, SIDECAR, 1, Announce.getDefaultInstance());
        advance(250);
        advance(6_000);
        for (int quarter = 0; quarter < 17; quarter++) {
            advance(250);
        }
        assertThat(isGone()).isTrue();
    }
}
