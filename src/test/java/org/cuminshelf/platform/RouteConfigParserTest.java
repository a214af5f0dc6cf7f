package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.organisations.AccessDecision;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.RequestApiKeys;
import org.cuminshelf.routes.EngineCapacity;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.routes.RoutedService;

/** Valid and invalid configurations of the platform's operators. */
class RouteConfigParserTest {

    private static final String ROUTE = "{\"name\":\"r\",\"host\":\"H.example\",\"pathPrefix\":\"/a/\","
            + "\"routeKind\":\"stream\",\"timeoutMs\":6000,\"targetLatencyMs\":200,\"priority\":1,"
            + "\"service\":\"s\",\"maxAttempts\":2,\"resumable\":true}";
    private static final String SERVICE = "{\"name\":\"s\",\"maxConns\":100}";

    private static String document(String version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],"
                + "\"limits\":{\"maxHeaderBytes\":100,\"idleTimeoutMs\":15000},\"later\":1}";
    }

    private static Either<String, RouteTable> parse(String document) {
        return RouteConfigParser.parse(document.getBytes(StandardCharsets.UTF_8));
    }

    private static String error(String document) {
        return parse(document).getLeft();
    }

    @Example
    void aValidDocumentIsParsedAndItsLongestPrefixWins() {
        String longer = ROUTE.replace("\"/a/\"", "\"/a/b/\"").replace("\"r\"", "\"r2\"");
        RouteTable table = parse(document("7", ROUTE + "," + longer, SERVICE)).get();
        assertThat(table.version()).isEqualTo(7);
        assertThat(table.route("h.example:80", "/a/b/c").orElseThrow().name()).isEqualTo("r2");
        assertThat(table.route("h.example", "/a/c").orElseThrow().name()).isEqualTo("r");
        assertThat(table.route("h.example", "/b")).isEmpty();
        assertThat(table.limits().maxHeaderBytes()).isEqualTo(100);
    }

    @Example
    void aTruncatedDocumentIsRejected() {
        String whole = document("7", ROUTE, SERVICE);
        assertThat(error(whole.substring(0, whole.length() - 9))).contains("can't be read");
    }

    @Example
    void trailingContentIsRejected() {
        assertThat(error(document("7", ROUTE, SERVICE) + "{}")).contains("can't be read");
    }

    @Example
    void aRouteToAnUnknownServiceIsRejected() {
        assertThat(error(document("7", ROUTE, ""))).contains("unknown service s");
    }

    @Example
    void twoRoutesWithTheSameHostAndPathPrefixAreRejected() {
        assertThat(error(document("7", ROUTE + "," + ROUTE, SERVICE))).contains("same host and path prefix");
    }

    @Example
    void weightsThatAddUpToZeroAreRejected() {
        String split = ROUTE.replace("\"service\":\"s\"", "\"trafficSplit\":[{\"service\":\"s\",\"weight\":0}]");
        assertThat(error(document("7", split, SERVICE))).contains("add up to 0");
    }

    /*
     * Impossible engine capacities, such as 0 slots, would refuse every prompt or crash a process with a division by
     * zero. Such a value counts as missing.
     */
    @Example
    void impossibleEngineCapacitiesCountAsMissing() {
        String engine = "{\"slots\":0,\"kvCapacityTokens\":-5,\"stride\":0,\"kvTokenBytes\":-1}";
        EngineCapacity capacity = capacity("{\"name\":\"s\",\"engine\":" + engine + "}");
        assertThat(capacity).isEqualTo(new EngineCapacity(1, 0, 1, 0));
        assertThat(capacity("{\"name\":\"s\",\"engine\":{}}")).isEqualTo(capacity);
        String words = "{\"slots\":\"x\",\"kvCapacityTokens\":null,\"stride\":[],\"kvTokenBytes\":{}}";
        assertThat(capacity("{\"name\":\"s\",\"engine\":" + words + "}")).isEqualTo(capacity);
    }

    @Example
    void engineCapacityAndMaximumEventGapAreParsed() {
        String engine = "{\"slots\":64,\"kvCapacityTokens\":900,\"stride\":5,\"kvTokenBytes\":35136.0}";
        assertThat(capacity("{\"name\":\"s\",\"engine\":" + engine + "}"))
                .isEqualTo(new EngineCapacity(64, 900, 5, 35_136));
        String route = ROUTE.replace("\"name\"", "\"gapAimMs\":250,\"name\"");
        RouteTable table = parse(document("7", route, SERVICE)).get();
        assertThat(table.routes().getFirst().maxEventGapMillis()).isEqualTo(250);
    }

    private static EngineCapacity capacity(String service) {
        return parse(document("7", ROUTE, service))
                .get()
                .service("s")
                .flatMap(RoutedService::engine)
                .orElseThrow();
    }

    @Example
    void aTimeoutOfZeroIsRejected() {
        assertThat(error(document("7", ROUTE.replace("6000", "0"), SERVICE))).contains("timeout");
    }

    @Example
    void aVersionThatIsNotAPositiveNumberIsRejected() {
        assertThat(error(document("\"x\"", ROUTE, SERVICE))).contains("version");
        assertThat(error(document("0", ROUTE, SERVICE))).contains("version");
    }

    private static String withOrganisations(String list) {
        return document("7", ROUTE, SERVICE).replace("\"later\":1", "\"tenants\":" + list);
    }

    private static AccessDecision access(String document, String key) {
        return parse(document)
                .get()
                .organisations()
                .authorise(new RequestApiKeys(List.of(ApiKeyDigest.of(key))), false);
    }

    @Example
    void organisationsAreKnownByAnyOfTheirKeys() {
        String document = withOrganisations(
                "[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":3},{\"name\":\"b\",\"apiKeys\":[\"k3\"]}]");
        assertThat(access(document, "k2")).isInstanceOfSatisfying(AccessDecision.Authorised.class, member -> {
            assertThat(member.organisation().name()).isEqualTo("a");
            assertThat(member.organisation().priority()).hasValue(3);
        });
        assertThat(access(document, "k3"))
                .isInstanceOfSatisfying(
                        AccessDecision.Authorised.class,
                        member -> assertThat(member.organisation().priority()).isEmpty());
        assertThat(access(document, "k4")).isInstanceOf(AccessDecision.Denied.class);
        assertThat(access(document("7", ROUTE, SERVICE), "k4")).isInstanceOf(AccessDecision.Anonymous.class);
        assertThat(access(withOrganisations("[]"), "k4")).isInstanceOf(AccessDecision.Denied.class);
    }

    /* The reason is returned to the operator and logged: it may name the organisation, but must never contain a key. */
    @Example
    void ambiguousOrInvalidOrganisationsAreRejectedWithoutRevealingAKey() {
        assertThat(error(withOrganisations(
                        "[{\"name\":\"a\",\"apiKeys\":[\"secret\"]},{\"name\":\"b\",\"apiKeys\":[\"x\",\"secret\"]}]")))
                .contains("a and b hold the same key")
                .doesNotContain("secret");
        assertThat(error(withOrganisations("[{\"name\":\"a\"},{\"name\":\"a\"}]")))
                .contains("named a");
        assertThat(error(withOrganisations("[{\"name\":\" \"}]"))).contains("empty name");
        assertThat(error(withOrganisations("[{\"name\":\"a\",\"apiKeys\":[7]}]")))
                .contains("a key of a");
        assertThat(error(withOrganisations("[{\"name\":\"a\",\"apiKeys\":\"secret\"}]")))
                .contains("'apiKeys' of a")
                .doesNotContain("secret");
        assertThat(error(withOrganisations("[{\"name\":\"a\",\"apiKeys\":[secret]}]")))
                .contains("can't be read")
                .doesNotContain("secret");
        assertThat(error(withOrganisations("{}"))).contains("'tenants' must be a list");
    }

    @Example
    void oneOrganisationMayListAKeyTwice() {
        assertThat(parse(withOrganisations("[{\"name\":\"a\",\"apiKeys\":[\"k\",\"k\"]}]"))
                        .isRight())
                .isTrue();
    }

    @Example
    void requestsAreSplitByWeightAndNoneGoesToAServiceOfWeightZero() {
        String split = ROUTE.replace(
                "\"service\":\"s\"",
                "\"trafficSplit\":[{\"service\":\"s\",\"weight\":1},{\"service\":\"t\",\"weight\":0}]");
        RouteTable table =
                parse(document("7", split, SERVICE + ",{\"name\":\"t\"}")).get();
        for (long choice = -5; choice < 5; choice++) {
            assertThat(table.routes().getFirst().chooseService(choice)).isEqualTo("s");
        }
    }
}
