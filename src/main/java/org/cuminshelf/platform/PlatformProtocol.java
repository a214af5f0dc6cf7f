package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import org.cuminshelf.backpressure.AdvertisedLimit;
import org.cuminshelf.backpressure.BackpressureSignals;
import org.cuminshelf.direct.AttemptPlan;
import org.cuminshelf.direct.CallIntent;
import org.cuminshelf.direct.GenerationShape;
import org.cuminshelf.direct.HopByHopHeaders;
import org.cuminshelf.direct.KvCacheHandle;
import org.cuminshelf.direct.PromptSegment;
import org.cuminshelf.direct.ResponseMetadata;
import org.cuminshelf.direct.UpstreamProtocol;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.RequestApiKeys;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.tinylog.Logger;

/** Translates between the platform's HTTP headers and the project's types, for requests and for responses. */
final class PlatformProtocol implements UpstreamProtocol {

    private static final ObjectMapper JSON = new ObjectMapper();
    /** The upstream is another instance, version or role than the request expects, and did not execute it. */
    private static final int STATUS_MISDIRECTED = 421;

    /** A decimal number of at least 0 that fits a double. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    /** Length at which a malformed header is cut off in the log. */
    private static final int MAX_LOGGED_CHARACTERS = 60;

    private static final int STATUS_UNAVAILABLE = 503;
    /** One day; a longer backoff would outlast the upstream instance. */
    private static final double MAX_BACKOFF_SECONDS = 86_400;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final byte[] EMPTY_BODY = new byte[0];

    @Override
    public CallIntent readIntent(ReceivedRequest request) {
        HttpFields headers = request.headers();
        return new CallIntent(
                Optional.ofNullable(headers.get(PlatformHeaders.REQUEST_ID)).orElse(""),
                longValue(headers, PlatformHeaders.DEADLINE),
                generationShape(headers),
                longValue(headers, PlatformHeaders.LAST_EVENT_ID),
                Optional.ofNullable(headers.get(PlatformHeaders.RESUMES)).filter(id -> !id.isBlank()),
                apiKeys(headers));
    }

    private static RequestApiKeys apiKeys(HttpFields headers) {
        List<String> keys = headers.getValuesList(PlatformHeaders.API_KEY);
        return keys.isEmpty()
                ? RequestApiKeys.none()
                : new RequestApiKeys(keys.stream().map(ApiKeyDigest::of).toList());
    }

    private static Optional<GenerationShape> generationShape(HttpFields headers) {
        String header = headers.get(PlatformHeaders.TOKEN_COUNTS);
        if (header == null) {
            return Optional.empty();
        }
        String[] counts = header.split(",");
        try {
            int promptTokens = Integer.parseInt(counts[0].trim());
            int maxOutputTokens = counts.length > 1 ? Integer.parseInt(counts[1].trim()) : 0;
            int expectedTokens =
                    (int) longValue(headers, PlatformHeaders.LENGTH_HINT).orElse(maxOutputTokens);
            String model =
                    Optional.ofNullable(headers.get(PlatformHeaders.MODEL)).orElse("");
            return Optional.of(new GenerationShape(
                    model, promptTokens, expectedTokens, promptSegments(headers.get(PlatformHeaders.PROMPT_SEGMENTS))));
        } catch (NumberFormatException e) {
            Logger.info(
                    "platform: event=unreadable-header header={} value=\"{}\"", PlatformHeaders.TOKEN_COUNTS, header);
            return Optional.empty();
        }
    }

    private static List<PromptSegment> promptSegments(String header) {
        List<PromptSegment> segments = new ArrayList<>();
        if (header == null) {
            return segments;
        }
        for (String entry : header.split(",")) {
            int colon = entry.indexOf(':');
            if (colon > 0) {
                segments.add(new PromptSegment(
                        entry.substring(0, colon).trim(),
                        Integer.parseInt(entry.substring(colon + 1).trim())));
            }
        }
        return segments;
    }

    private static OptionalLong longValue(HttpFields headers, String name) {
        String value = headers.get(name);
        if (value == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            Logger.info("platform: event=unreadable-header header={} value=\"{}\"", name, value);
            return OptionalLong.empty();
        }
    }

    @Override
    public UpstreamRequest attemptRequest(ReceivedRequest request, AttemptPlan plan) {
        Set<String> connectionOptions = connectionOptions(request.headers());
        HttpFields.Mutable headers = HttpFields.build();
        for (HttpField field : request.headers()) {
            String name = field.getName().toLowerCase(Locale.ROOT);
            boolean forwarded = !HopByHopHeaders.contains(field) && !PlatformHeaders.NOT_FORWARDED.contains(name);
            if (forwarded && !connectionOptions.contains(name)) {
                headers.add(field);
            }
        }
        headers.put(PlatformHeaders.DEADLINE, String.valueOf(plan.remainingMillis()));
        headers.put(PlatformHeaders.EXPECTED_INSTANCE, plan.upstream());
        plan.organisation().ifPresent(name -> headers.put(PlatformHeaders.ORGANISATION, name));
        if (request.headers().contains(PlatformHeaders.TOKEN_COUNTS)) {
            headers.put(PlatformHeaders.PRIORITY, String.valueOf(plan.priority()));
        }
        if (plan.prefillOnly()) {
            headers.put(PlatformHeaders.STAGE, PlatformHeaders.STAGE_PREFILL);
        }
        plan.cache()
                .ifPresent(
                        cache -> headers.put(PlatformHeaders.KV_CACHE_SOURCE, cache.engine() + "/" + cache.handle()));
        plan.prefixSource().ifPresent(engine -> headers.put(PlatformHeaders.PREFIX_SOURCE, engine.value()));
        plan.resumeAfter().ifPresent(event -> headers.put(PlatformHeaders.LAST_EVENT_ID, String.valueOf(event)));
        return new UpstreamRequest(request.method(), request.target(), headers, request.body());
    }

    /**
     * Returns, in lower case, the headers named in the Connection header; they apply to the caller's connection only.
     */
    private static Set<String> connectionOptions(HttpFields headers) {
        Set<String> options = new HashSet<>();
        headers.getCSV(HttpHeader.CONNECTION, false).forEach(name -> options.add(name.toLowerCase(Locale.ROOT)));
        return options;
    }

    @Override
    public UpstreamRequest releaseRequest(KvCacheHandle handle) {
        HttpFields headers =
                HttpFields.build().put(HttpHeader.HOST, handle.engine().value());
        return new UpstreamRequest("DELETE", "/cuminshelf/kv-handle/" + handle.handle(), headers, EMPTY_BODY);
    }

    @Override
    public ResponseMetadata readMetadata(int status, HttpFields headers) {
        return new ResponseMetadata(
                Optional.ofNullable(headers.get(PlatformHeaders.REQUEST_ID)),
                status == STATUS_MISDIRECTED || headers.contains(PlatformHeaders.NOT_EXECUTED),
                Optional.ofNullable(headers.get(PlatformHeaders.RESPONDING_INSTANCE)),
                headers.contains(PlatformHeaders.RESPONSE_SEAL),
                new BackpressureSignals(
                        advertisedLimit(headers),
                        backoff(status, headers),
                        "1".equals(headers.get(PlatformHeaders.LEAVING))));
    }

    /** Reads Retry-After from a 503 response; with other statuses the header does not ask for backoff. */
    private static Optional<Duration> backoff(int status, HttpFields headers) {
        String value = headers.get(HttpHeader.RETRY_AFTER);
        if (status != STATUS_UNAVAILABLE || value == null) {
            return Optional.empty();
        }
        if (!DECIMAL.matcher(value).matches()) {
            Logger.info("platform: event=unreadable-header header={} value=\"{}\"", HttpHeader.RETRY_AFTER, value);
            return Optional.empty();
        }
        double seconds = Math.min(MAX_BACKOFF_SECONDS, Double.parseDouble(value));
        return Optional.of(Duration.ofMillis((long) Math.ceil(seconds * MILLIS_PER_SECOND)));
    }

    private static AdvertisedLimit advertisedLimit(HttpFields headers) {
        List<String> values = headers.getValuesList(PlatformHeaders.RATE_LIMIT);
        if (values.isEmpty()) {
            return new AdvertisedLimit.Unlimited();
        }
        if (values.size() == 1 && DECIMAL.matcher(values.getFirst()).matches()) {
            return new AdvertisedLimit.PerSecond(Double.parseDouble(values.getFirst()));
        }
        String text = values.toString();
        return new AdvertisedLimit.Malformed(text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARACTERS)));
    }

    @Override
    public Optional<String> readCacheHandle(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            return Optional.ofNullable(root).map(node -> node.path("kvHandle").textValue());
        } catch (IOException e) {
            Logger.info("platform: event=unreadable-answer what=\"prompt taken in\" reason=\"{}\"", e.getMessage());
            return Optional.empty();
        }
    }
}
