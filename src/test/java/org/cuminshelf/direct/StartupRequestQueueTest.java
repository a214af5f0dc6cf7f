package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.organisations.RequestApiKeys;
import org.eclipse.jetty.http.HttpFields;

/** Tests the requests that wait for a starting entry. */
class StartupRequestQueueTest {

    private static final CallIntent INTENT = new CallIntent(
            "id",
            OptionalLong.of(8_000),
            Optional.empty(),
            OptionalLong.empty(),
            Optional.empty(),
            RequestApiKeys.none());
    private final StartupRequestQueue queue = new StartupRequestQueue();

    /*
     * Guards against an entry that runs out of memory at its start and restarts repeatedly: callers with large bodies
     * wait for it, more of them each time.
     */
    @Example
    void theWaitingBodiesAreBounded() {
        byte[] large = new byte[4 << 20];
        DirectFixture.CallerResponse first = new DirectFixture.CallerResponse();
        assertThat(add(first, large)).isTrue();
        for (int index = 0; index < 3; index++) {
            assertThat(add(new DirectFixture.CallerResponse(), large)).isTrue();
        }
        assertThat(add(new DirectFixture.CallerResponse(), large)).isFalse();
        assertThat(queue.remove(first)).isTrue();
        assertThat(add(new DirectFixture.CallerResponse(), large)).isTrue();
        for (int index = 0; index < 4; index++) {
            assertThat(queue.poll()).isPresent();
        }
        assertThat(queue.poll()).isEmpty();
        assertThat(add(new DirectFixture.CallerResponse(), large)).isTrue();
    }

    @Example
    void aRequestExpiresAfterItsMaximumWait() {
        add(new DirectFixture.CallerResponse(), new byte[0]);
        assertThat(queue.pollExpired(Durations.nanos(1_400))).isEmpty();
        assertThat(queue.pollExpired(Durations.nanos(1_600))).isPresent();
        assertThat(queue.size()).isZero();
    }

    private boolean add(DirectFixture.CallerResponse caller, byte[] body) {
        ReceivedRequest request = new ReceivedRequest("POST", "/a/b", HttpFields.EMPTY, body);
        return queue.add(0, request, caller, INTENT, 8_000);
    }
}
