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

/** Translation of the platform's headers in requests and responses. */
class PlatformProtocolTest {

    private final PlatformProtocol protocol = new PlatformProtocol();

    private static ReceivedRequest request(String... headers) {
        HttpFields.Mutable fields = HttpFields.build();
        for (int index = 0; index < headers.length; index += 2) {
            fields.add(headers[index], headers[index + 1]);
        }
        return new ReceivedRequest("POST", "/a/b?c=%20d", fields.asImmutable(), new byte[] {1});
    }

    private static AttemptPlan plan(boolean prefillOnly, Optional<KvCacheHandle> cache) {
        return new AttemptPlan(
                "i-1",
                Optional.of("acme"),
                750,
                3,
                prefillOnly,
                cache,
                Optional.of(Address.of("10.1.0.9:80")),
                OptionalLong.of(12));
    }

    @Example
    void theIntentOfARequestIsRead() {
        CallIntent intent = protocol.readIntent(request(
                PlatformHeaders.REQUEST_ID,
                "x",
                PlatformHeaders.DEADLINE,
                "8000",
                PlatformHeaders.TOKEN_COUNTS,
                "1460,80",
                PlatformHeaders.PROMPT_SEGMENTS,
                "5c:800,91:410,e4:250"));
        assertThat(intent.id()).isEqualTo("x");
        assertThat(intent.deadlineMillis()).hasValue(8000);
        assertThat(intent.generation().orElseThrow().promptTokens()).isEqualTo(1460);
        assertThat(intent.generation().orElseThrow().segments()).hasSize(3);
    }

    @Example
    void malformedHeadersCountAsAbsent() {
        CallIntent intent = protocol.readIntent(request(
                PlatformHeaders.DEADLINE,
                "soon",
                PlatformHeaders.TOKEN_COUNTS,
                "many",
                PlatformHeaders.LAST_EVENT_ID,
                ""));
        assertThat(intent.deadlineMillis()).isEmpty();
        assertThat(intent.generation()).isEmpty();
        assertThat(intent.resumeAfter()).isEmpty();
    }

    /*
     * A caller could resume from the KV cache of another caller's request, or reserve capacity without using it, if
     * headers that only this system may set were forwarded from its request.
     */
    @Example
    void headersReservedForTheSystemAreNotForwardedFromACaller() {
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
        assertThat(sent.headers().get(PlatformHeaders.EXPECTED_INSTANCE)).isEqualTo("i-1");
        assertThat(sent.headers().get(PlatformHeaders.LAST_EVENT_ID)).isEqualTo("12");
        assertThat(sent.target()).isEqualTo("/a/b?c=%20d");
    }

    /*
     * Anyone who operates or observes an upstream could send requests as one of its callers' organisations if API keys
     * were forwarded to it, and a caller could run requests as another organisation if the name it sends were
     * forwarded.
     */
    @Example
    void anUpstreamReceivesTheOrganisationsNameAndNeverAKey() {
        UpstreamRequest sent = protocol.attemptRequest(
                request(
                        PlatformHeaders.API_KEY,
                        "secret-1",
                        PlatformHeaders.API_KEY.toUpperCase(Locale.ROOT),
                        "secret-2",
                        PlatformHeaders.ORGANISATION,
                        "forged-1",
                        PlatformHeaders.ORGANISATION.toLowerCase(Locale.ROOT),
                        "forged-2"),
                plan(true, Optional.empty()));
        assertThat(sent.headers().asString()).doesNotContain("secret").doesNotContain("forged");
        assertThat(sent.headers().getValuesList(PlatformHeaders.ORGANISATION)).containsExactly("acme");
    }

    /* On a public route a request belongs to no organisation, and its caller must not be able to name one. */
    @Example
    void aRequestWithoutOrganisationIsSentWithoutItsHeader() {
        AttemptPlan plan = new AttemptPlan(
                "i-1", Optional.empty(), 750, 3, false, Optional.empty(), Optional.empty(), OptionalLong.empty());
        UpstreamRequest sent = protocol.attemptRequest(request(PlatformHeaders.ORGANISATION, "forged"), plan);
        assertThat(sent.headers().contains(PlatformHeaders.ORGANISATION)).isFalse();
    }

    @Example
    void theIntentOfARequestRevealsNoKey() {
        CallIntent intent = protocol.readIntent(request(PlatformHeaders.API_KEY, "secret"));
        assertThat(intent.keys().single()).hasValue(ApiKeyDigest.of("secret"));
        assertThat(intent.toString()).doesNotContain("secret");
        CallIntent twoKeys = protocol.readIntent(request(PlatformHeaders.API_KEY, "a", PlatformHeaders.API_KEY, "b"));
        assertThat(twoKeys.keys().single()).isEmpty();
    }

    @Example
    void aKvCacheIsIdentifiedByItsEngineAndHandle() {
        KvCacheHandle cache = new KvCacheHandle(Address.of("10.0.0.1:80"), "k", "v1");
        assertThat(protocol.attemptRequest(request(), plan(false, Optional.of(cache)))
                        .headers()
                        .get(PlatformHeaders.KV_CACHE_SOURCE))
                .isEqualTo("10.0.0.1:80/k");
        assertThat(protocol.releaseRequest(cache).target()).isEqualTo("/cuminshelf/kv-handle/k");
        assertThat(protocol.readCacheHandle("{\"kvHandle\":\"k\"}".getBytes())).hasValue("k");
        assertThat(protocol.readCacheHandle("{".getBytes())).isEmpty();
    }

    @Example
    void onlyARefusalThatStatesNonExecutionCountsAsNotExecuted() {
        ResponseMetadata stated = protocol.readMetadata(503, HttpFields.build().put(PlatformHeaders.NOT_EXECUTED, "1"));
        ResponseMetadata unstated = protocol.readMetadata(503, HttpFields.EMPTY);
        ResponseMetadata otherInstance =
                protocol.readMetadata(421, HttpFields.build().put(PlatformHeaders.RESPONDING_INSTANCE, "i-2"));
        assertThat(stated.notExecuted()).isTrue();
        assertThat(unstated.notExecuted()).isFalse();
        assertThat(otherInstance.upstreamName()).hasValue("i-2");
    }

    private AdvertisedLimit limit(String... values) {
        HttpFields.Mutable headers = HttpFields.build();
        for (String value : values) {
            headers.add(PlatformHeaders.RATE_LIMIT, value);
        }
        return protocol.readMetadata(200, headers).backpressure().limit();
    }

    @Example
    void anAdvertisedLimitIsParsed() {
        assertThat(limit()).isEqualTo(new AdvertisedLimit.Unlimited());
        assertThat(limit("6")).isEqualTo(new AdvertisedLimit.PerSecond(6));
        assertThat(limit("5.1")).isEqualTo(new AdvertisedLimit.PerSecond(5.1));
        assertThat(limit("0")).isEqualTo(new AdvertisedLimit.PerSecond(0));
        assertThat(limit("1000000000000")).isEqualTo(new AdvertisedLimit.PerSecond(1e12));
    }

    /** An overloaded upstream whose limit is malformed must not be treated as unlimited. */
    @Example
    void aMalformedLimitIsNotTreatedAsUnlimited() {
        for (String value : List.of("", "many", "-1", "NaN", "Infinity", "1e12", "0x10", "5,1", "9".repeat(400))) {
            assertThat(limit(value)).as(value).isInstanceOf(AdvertisedLimit.Malformed.class);
        }
        assertThat(limit("5", "6")).isEqualTo(new AdvertisedLimit.Malformed("[5, 6]"));
    }

    private Optional<Duration> backoff(int status, String retryAfter) {
        return protocol.readMetadata(status, HttpFields.build().put("Retry-After", retryAfter))
                .backpressure()
                .backoff();
    }

    @Example
    void theBackoffOfARefusalIsParsed() {
        assertThat(backoff(503, "3")).contains(Duration.ofSeconds(3));
        assertThat(backoff(503, "0.2504")).contains(Duration.ofMillis(251));
        assertThat(backoff(503, "999999999999")).contains(Duration.ofDays(1));
        assertThat(backoff(200, "3")).isEmpty();
        for (String value : List.of("", "-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT")) {
            assertThat(backoff(503, value)).as(value).isEmpty();
        }
    }

    @Example
    void theShutdownSignalOfAnUpstreamIsParsed() {
        HttpFields leaving = HttpFields.build().put(PlatformHeaders.LEAVING, "1");
        assertThat(protocol.readMetadata(200, leaving).backpressure().leaving()).isTrue();
        assertThat(protocol.readMetadata(200, HttpFields.EMPTY).backpressure().leaving())
                .isFalse();
    }
}
