package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.message.Role;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.RouteTable;

/** Tests calls whose route, service and organisation a newer configuration removes. */
class RouteRemovalTest {

    private static void removeAllRoutes(DirectFixture entry) {
        entry.applyConfig(RouteTable.of(8, List.of(), Map.of(), Organisations.unrestricted(), CallerLimits.DEFAULT));
        assertThat(entry.core.configVersion()).isEqualTo(8);
    }

    /** Guards against a call that is refused in the queue because the configuration changed meanwhile. */
    @Example
    void aQueuedCallIsSentAfterItsRouteWasRemoved() {
        DirectFixture entry =
                new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false)).becomeReady();
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        removeAllRoutes(entry);
        entry.addUpstream("u", Role.ROLE_MIXED);
        entry.advance(20);
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }

    /** Guards against a stream that ends because its service is no longer configured. */
    @Example
    void aStreamContinuesOnAnotherEngineAfterItsRouteWasRemoved() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, true))
                .becomeReady()
                .addUpstream("d1", Role.ROLE_DECODE);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "500");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        entry.addUpstream("d2", Role.ROLE_DECODE);
        removeAllRoutes(entry);
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(20);
        assertThat(entry.lastSent().upstream).isEqualTo("d2");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 2\ndata: b\n\n");
        entry.lastSent().handler.onComplete();
        assertThat(response.complete).isTrue();
    }
}
