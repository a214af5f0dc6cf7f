package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.cuminshelf.backpressure.AdvertisedLimit;
import org.cuminshelf.core.Address;
import org.cuminshelf.direct.AttemptPlan;
import org.cuminshelf.direct.CallIntent;
import org.cuminshelf.direct.KvCacheHandle;
import org.cuminshelf.direct.ResponseMetadata;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.eclipse.jetty.http.HttpFields;

/** The platform's headers on their way in and out. */
class PlatformProtocolTest {

    private final PlatformProtocol protocol = new PlatformProtocol();

    private static ReceivedRequest request(String... headers) {
        HttpFields.Mutable fields = HttpFields.build();
        for (int index = 0; index < headers.length; index += 2) {
            fields.add(headers[index], headers[index + 1]);
        }
        return new ReceivedRequest("POST", "/a/b?c=%20d", fields.asImmutable(), new byte[] {1});
    }

    private static AttemptPlan plan(boolean prefill, Optional<KvCacheHandle> cache) {
        return new AttemptPlan(
                "i-1",
                Optional.of("acme"),
                750,
                3,
                prefill,
                cache,
                Optional.of(Address.of("10.1.0.9:80")),
                OptionalLong.of(12));
    }

    @Example
    void whatACallerAsksForIsRead() {
        CallIntent intent = protocol.readIntent(request(
                PlatformHeaders.REQUEST_ID,
                "x",
                PlatformHeaders.DEADLINE,
                "8000",
                PlatformHeaders.TOKENS,
                "1460,80",
                PlatformHeaders.PROMPT_PARTS,
                "5c:800,91:410,e4:250"));
        assertThat(intent.id()).isEqualTo("x");
        assertThat(intent.deadlineMillis()).hasValue(8000);
        assertThat(intent.generation().orElseThrow().promptTokens()).isEqualTo(1460);
        assertThat(intent.generation().orElseThrow().segments()).hasSize(3);
    }

    @Example
    void headersThatCanNotBeReadAreTakenForAbsent() {
        CallIntent intent = protocol.readIntent(request(
                PlatformHeaders.DEADLINE, "soon", PlatformHeaders.TOKENS, "many", PlatformHeaders.LAST_EVENT, ""));
        assertThat(intent.deadlineMillis()).isEmpty();
        assertThat(intent.generation()).isEmpty();
        assertThat(intent.resumeAfter()).isEmpty();
    }

    /*
     * A caller goes on from the memory of someone else's request, or holds places for nobody: it sent the headers that
     * are the system's to set. Cause: headers passed on unseen.
     */
    @Example
    void whatOnlyTheSystemSetsIsNotTakenFromACaller() {
        UpstreamRequest sent = protocol.attemptRequest(
                request(
                        "x-cuminshelf-kv-source",
                        "evil",
                        "X-Cuminshelf-Pin-Ms",
                        "9",
                        "X-Cuminshelf-Kv-Hold",
                        "h",
                        "X-Cuminshelf-Kv-Backup",
                        "b",
                        "Kv-Fetch",
                        "evil",
                        "X-Cuminshelf-Stage",
                        "prefill",
                        "Connection",
                        "X-Own, close",
                        "X-Own",
                        "1",
                        "Transfer-Encoding",
                        "chunked",
                        "X-Kept",
                        "2",
                        PlatformHeaders.DEADLINE,
                        "9999"),
                plan(false, Optional.empty()));
        assertThat(sent.headers().asString())
                .doesNotContain("evil")
                .doesNotContain("X-Own")
                .doesNotContain("chunked");
        assertThat(sent.headers().get("X-Cuminshelf-Pin-Ms")).isNull();
        assertThat(sent.headers().get("X-Cuminshelf-Kv-Hold")).isNull();
        assertThat(sent.headers().get("X-Cuminshelf-Kv-Backup")).isNull();
        assertThat(sent.headers().getValuesList("Kv-Fetch")).containsExactly("10.1.0.9:80");
        assertThat(sent.headers().get(PlatformHeaders.STAGE)).isNull();
        assertThat(sent.headers().get("X-Kept")).isEqualTo("2");
        assertThat(sent.headers().get(PlatformHeaders.DEADLINE)).isEqualTo("750");
        assertThat(sent.headers().get(PlatformHeaders.EXPECTED_START)).isEqualTo("i-1");
        assertThat(sent.headers().get(PlatformHeaders.LAST_EVENT)).isEqualTo("12");
        assertThat(sent.target()).isEqualTo("/a/b?c=%20d");
    }

    /*
     * Whoever runs or watches an upstream can ask in the name of its callers: it is given their keys. Cause: a header
     * that is for the system only is passed on like any other. And a caller runs in the name of another organisation,
     * as it sends that name itself.
     */
    @Example
    void anUpstreamGetsTheNameOfTheOrganisationAndNeverAKey() {
        UpstreamRequest sent = protocol.attemptRequest(
                request(
                        PlatformHeaders.CALLER_KEY,
                        "secret-1",
                        PlatformHeaders.CALLER_KEY.toUpperCase(Locale.ROOT),
                        "secret-2",
                        PlatformHeaders.ORGANISATION,
                        "forged-1",
                        PlatformHeaders.ORGANISATION.toLowerCase(Locale.ROOT),
                        "forged-2"),
                plan(true, Optional.empty()));
        assertThat(sent.headers().asString()).doesNotContain("secret").doesNotContain("forged");
        assertThat(sent.headers().getValuesList(PlatformHeaders.ORGANISATION)).containsExactly("acme");
    }

    /* On a public route a request runs in nobody's name. Its caller must not be able to choose one. */
    @Example
    void inNobodysNameMeansThatNoNameIsSent() {
        AttemptPlan nobodys = new AttemptPlan(
                "i-1", Optional.empty(), 750, 3, false, Optional.empty(), Optional.empty(), OptionalLong.empty());
        UpstreamRequest sent = protocol.attemptRequest(request(PlatformHeaders.ORGANISATION, "forged"), nobodys);
        assertThat(sent.headers().contains(PlatformHeaders.ORGANISATION)).isFalse();
    }

    @Example
    void whatIsReadOfARequestShowsNoKey() {
        CallIntent intent = protocol.readIntent(request(PlatformHeaders.CALLER_KEY, "secret"));
        assertThat(intent.keys().single()).hasValue(ApiKeyDigest.of("secret"));
        assertThat(intent.toString()).doesNotContain("secret");
        CallIntent twice =
                protocol.readIntent(request(PlatformHeaders.CALLER_KEY, "a", PlatformHeaders.CALLER_KEY, "b"));
        assertThat(twice.keys().single()).isEmpty();
    }

    @Example
    void aCacheIsNamedByItsEngineAndHandle() {
        KvCacheHandle cache = new KvCacheHandle(Address.of("10.0.0.1:80"), "k");
        assertThat(protocol.attemptRequest(request(), plan(false, Optional.of(cache)))
                        .headers()
                        .get(PlatformHeaders.CACHE_SOURCE))
                .isEqualTo("10.0.0.1:80/k");
        assertThat(protocol.releaseRequest(cache).target()).isEqualTo("/cuminshelf/kv-handle/k");
        assertThat(protocol.readCacheHandle("{\"kvHandle\":\"k\"}".getBytes())).hasValue("k");
        assertThat(protocol.readCacheHandle("{".getBytes())).isEmpty();
    }

    @Example
    void aRefusalThatStatesItDidNotRunIsToldFromOneThatDoesNot() {
        ResponseMetadata stated = protocol.readMetadata(503, HttpFields.build().put(PlatformHeaders.NOT_EXECUTED, "1"));
        ResponseMetadata silent = protocol.readMetadata(503, HttpFields.EMPTY);
        ResponseMetadata other =
                protocol.readMetadata(421, HttpFields.build().put(PlatformHeaders.ANSWERING_START, "i-2"));
        assertThat(stated.notExecuted()).isTrue();
        assertThat(silent.notExecuted()).isFalse();
        assertThat(other.upstreamName()).hasValue("i-2");
    }

    private AdvertisedLimit limit(String... stated) {
        HttpFields.Mutable headers = HttpFields.build();
        for (String value : stated) {
            headers.add(PlatformHeaders.RATE_LIMIT, value);
        }
        return protocol.readMetadata(200, headers).backpressure().limit();
    }

    @Example
    void theLimitOfAnUpstreamIsRead() {
        assertThat(limit()).isEqualTo(new AdvertisedLimit.Unlimited());
        assertThat(limit("6")).isEqualTo(new AdvertisedLimit.PerSecond(6));
        assertThat(limit("5.1")).isEqualTo(new AdvertisedLimit.PerSecond(5.1));
        assertThat(limit("0")).isEqualTo(new AdvertisedLimit.PerSecond(0));
        assertThat(limit("1000000000000")).isEqualTo(new AdvertisedLimit.PerSecond(1e12));
    }

    /** Guards against an upstream in need that is taken for one without a limit, as its limit can't be read. */
    @Example
    void aLimitThatCanNotBeReadIsToldFromNone() {
        for (String value : List.of("", "many", "-1", "NaN", "Infinity", "1e12", "0x10", "5,1", "9".repeat(400))) {
            assertThat(limit(value)).as(value).isInstanceOf(AdvertisedLimit.Malformed.class);
        }
        assertThat(limit("5", "6")).isEqualTo(new AdvertisedLimit.Malformed("[5, 6]"));
    }

    private Optional<Duration> rest(int status, String stated) {
        return protocol.readMetadata(status, HttpFields.build().put("Retry-After", stated))
                .backpressure()
                .backoff();
    }

    @Example
    void theRestThatARefusalAsksForIsRead() {
        assertThat(rest(503, "3")).contains(Duration.ofSeconds(3));
        assertThat(rest(503, "0.2504")).contains(Duration.ofMillis(251));
        assertThat(rest(503, "999999999999")).contains(Duration.ofDays(1));
        assertThat(rest(200, "3")).isEmpty();
        for (String value : List.of("", "-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT")) {
            assertThat(rest(503, value)).as(value).isEmpty();
        }
    }

    @Example
    void thatAnUpstreamLeavesIsRead() {
        HttpFields leaving = HttpFields.build().put(PlatformHeaders.LEAVING, "1");
        assertThat(protocol.readMetadata(200, leaving).backpressure().leaving()).isTrue();
        assertThat(protocol.readMetadata(200, HttpFields.EMPTY).backpressure().leaving())
                .isFalse();
    }
}
