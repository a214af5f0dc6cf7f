package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;

/** Tests to which organisation an entry attributes requests, and which it refuses. */
class OrganisationCallsTest {

    private static final Route ROUTE = DirectFixture.route(RequestKind.IDEMPOTENT, 2, false);
    private static final Organisations ACME = organisations("k1", "k2");

    private static Organisations organisations(String... keys) {
        List<ApiKeyDigest> digests =
                List.of(keys).stream().map(ApiKeyDigest::of).toList();
        return Organisations.of(List.of(new Organisation("acme", digests, OptionalInt.empty())));
    }

    private static Route publicRoute() {
        return new Route(
                ROUTE.name(),
                ROUTE.host(),
                ROUTE.pathPrefix(),
                ROUTE.kind(),
                ROUTE.timeoutMillis(),
                ROUTE.targetLatencyMillis(),
                ROUTE.priority(),
                ROUTE.services(),
                ROUTE.maxAttempts(),
                ROUTE.resumable(),
                ROUTE.maxEventGapMillis(),
                true);
    }

    private static DirectFixture entry(Organisations organisations, Route route) {
        return new DirectFixture(organisations, route)
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE)
                .addUpstream("u2", Role.ROLE_DECODE);
    }

    @Example
    void eachAttemptCarriesTheNameOfTheOrganisation() {
        DirectFixture entry = entry(ACME, ROUTE);
        entry.sendRequest("x", "Key", "k2");
        assertThat(entry.lastSent().request.headers().get("Organisation")).isEqualTo("acme");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.lastSent().request.headers().get("Organisation")).isEqualTo("acme");
    }

    @Example
    void aRequestWithoutAKnownKeyReachesNoUpstream() {
        DirectFixture entry = entry(ACME, ROUTE);
        assertThat(entry.sendRequest("x").status).isEqualTo(401);
        assertThat(entry.sendRequest("y", "Key", "unknown").status).isEqualTo(401);
        assertThat(entry.sentRequests).isEmpty();
    }

    @Example
    void aPublicRouteNeedsNoKeyButIdentifiesTheOrganisationOfAKnownOne() {
        DirectFixture entry = entry(ACME, publicRoute());
        entry.sendRequest("x", "Key", "unknown");
        assertThat(entry.lastSent().request.headers().get("Organisation")).isNull();
        entry.sendRequest("y", "Key", "k1");
        assertThat(entry.lastSent().request.headers().get("Organisation")).isEqualTo("acme");
    }

    /* Guards against a revoked key that stays valid for a caller that keeps its connection open. */
    @Example
    void aRevokedKeyIsRefusedFromTheNextRequestOn() {
        DirectFixture entry = entry(ACME, ROUTE);
        DirectFixture.CallerResponse before = entry.sendRequest("x", "Key", "k1");
        entry.applyConfig(DirectFixture.routeTable(8, organisations("k2"), ROUTE));
        assertThat(entry.sendRequest("y", "Key", "k1").status).isEqualTo(401);
        entry.lastSent().respond(200, "done");
        assertThat(before.status).isEqualTo(200);
    }

    /*
     * Guards against a final refusal of a key that was just added, at an entry to which the new configuration was
     * announced but not delivered yet.
     */
    @Example
    void anUnknownKeyMayRetryWhileANewerConfigurationIsAnnounced() {
        DirectFixture entry = entry(ACME, ROUTE);
        entry.sendUpdate(Update.newBuilder().setVoter(true).setConfigVersion(8));
        DirectFixture.CallerResponse early = entry.sendRequest("x", "Key", "k3");
        assertThat(early.status).isEqualTo(503);
        assertThat(early.headers.contains("Retry-After")).isTrue();
        entry.applyConfig(DirectFixture.routeTable(8, organisations("k2", "k3"), ROUTE));
        entry.sendRequest("y", "Key", "k3");
        assertThat(entry.lastSent().request.headers().get("Organisation")).isEqualTo("acme");
        assertThat(entry.sendRequest("z", "Key", "k1").status).isEqualTo(401);
    }

    /* The same at an entry without contact to control, which cannot know of keys added since. */
    @Example
    void anUnknownKeyMayRetryWhileControlIsUnreachable() {
        DirectFixture entry = entry(ACME, ROUTE);
        entry.advance(2_000);
        assertThat(entry.sendRequest("x", "Key", "k3").status).isEqualTo(503);
        entry.sendRequest("y", "Key", "k1");
        assertThat(entry.sentRequests).hasSize(1);
        entry.sendUpdate(Update.newBuilder().setVoter(true).setConfigVersion(7));
        assertThat(entry.sendRequest("z", "Key", "k3").status).isEqualTo(401);
    }
}
