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

/** How the platform's callers and upstreams write requests and answers. */
final class PlatformProtocol implements UpstreamProtocol {

    private static final ObjectMapper JSON = new ObjectMapper();
    /** An upstream's refusal of a request that expects another start, version or role. */
    private static final int MISDIRECTED = 421;

    /** A number of at least 0 that a double holds. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    /** Characters of an unreadable header that the log shows. */
    private static final int MOST_SHOWN = 60;

    private static final int UNAVAILABLE = 503;
    /** A day; a longer rest ends with the upstream. */
    private static final double LONGEST_REST_SECONDS = 86_400;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final byte[] NOTHING = new byte[0];

    @Override
    public CallIntent readIntent(ReceivedRequest request) {
        HttpFields headers = request.headers();
        return new CallIntent(
                Optional.ofNullable(headers.get(PlatformHeaders.REQUEST_ID)).orElse(""),
                number(headers, PlatformHeaders.DEADLINE),
                generation(headers),
                number(headers, PlatformHeaders.LAST_EVENT),
                keys(headers));
    }

    private static RequestApiKeys keys(HttpFields headers) {
        List<String> sent = headers.getValuesList(PlatformHeaders.CALLER_KEY);
        return sent.isEmpty()
                ? RequestApiKeys.none()
                : new RequestApiKeys(sent.stream().map(ApiKeyDigest::of).toList());
    }

    private static Optional<GenerationShape> generation(HttpFields headers) {
        String tokens = headers.get(PlatformHeaders.TOKENS);
        if (tokens == null) {
            return Optional.empty();
        }
        String[] counts = tokens.split(",");
        try {
            int prompt = Integer.parseInt(counts[0].trim());
            int most = counts.length > 1 ? Integer.parseInt(counts[1].trim()) : 0;
            int expected = (int) number(headers, PlatformHeaders.LENGTH_HINT).orElse(most);
            String model =
                    Optional.ofNullable(headers.get(PlatformHeaders.MODEL)).orElse("");
            return Optional.of(
                    new GenerationShape(model, prompt, expected, parts(headers.get(PlatformHeaders.PROMPT_PARTS))));
        } catch (NumberFormatException e) {
            Logger.info("platform: event=unreadable-header header={} value=\"{}\"", PlatformHeaders.TOKENS, tokens);
            return Optional.empty();
        }
    }

    private static List<PromptSegment> parts(String header) {
        List<PromptSegment> parts = new ArrayList<>();
        if (header == null) {
            return parts;
        }
        for (String entry : header.split(",")) {
            int colon = entry.indexOf(':');
            if (colon > 0) {
                parts.add(new PromptSegment(
                        entry.substring(0, colon).trim(),
                        Integer.parseInt(entry.substring(colon + 1).trim())));
            }
        }
        return parts;
    }

    private static OptionalLong number(HttpFields headers, String name) {
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
        Set<String> named = namedByConnection(request.headers());
        HttpFields.Mutable headers = HttpFields.build();
        for (HttpField field : request.headers()) {
            String name = field.getName().toLowerCase(Locale.ROOT);
            boolean kept = !HopByHopHeaders.contains(field) && !PlatformHeaders.NOT_PASSED_ON.contains(name);
            if (kept && !named.contains(name)) {
                headers.add(field);
            }
        }
        headers.put(PlatformHeaders.DEADLINE, String.valueOf(plan.remainingMillis()));
        headers.put(PlatformHeaders.EXPECTED_START, plan.upstream());
        plan.organisation().ifPresent(name -> headers.put(PlatformHeaders.ORGANISATION, name));
        if (request.headers().contains(PlatformHeaders.TOKENS)) {
            headers.put(PlatformHeaders.PRIORITY, String.valueOf(plan.priority()));
        }
        if (plan.prefillOnly()) {
            headers.put(PlatformHeaders.STAGE, PlatformHeaders.PREFILL);
        }
        plan.cache()
                .ifPresent(cache -> headers.put(PlatformHeaders.CACHE_SOURCE, cache.engine() + "/" + cache.handle()));
        plan.prefixSource().ifPresent(engine -> headers.put(PlatformHeaders.PART_SOURCE, engine.value()));
        plan.resumeAfter().ifPresent(event -> headers.put(PlatformHeaders.LAST_EVENT, String.valueOf(event)));
        return new UpstreamRequest(request.method(), request.target(), headers, request.body());
    }

    /** Headers that the caller's Connection header names concern its own connection only. */
    private static Set<String> namedByConnection(HttpFields headers) {
        Set<String> named = new HashSet<>();
        headers.getCSV(HttpHeader.CONNECTION, false).forEach(name -> named.add(name.toLowerCase(Locale.ROOT)));
        return named;
    }

    @Override
    public UpstreamRequest releaseRequest(KvCacheHandle handle) {
        HttpFields headers =
                HttpFields.build().put(HttpHeader.HOST, handle.engine().value());
        return new UpstreamRequest("DELETE", "/cuminshelf/kv-handle/" + handle.handle(), headers, NOTHING);
    }

    @Override
    public ResponseMetadata readMetadata(int status, HttpFields headers) {
        return new ResponseMetadata(
                Optional.ofNullable(headers.get(PlatformHeaders.REQUEST_ID)),
                status == MISDIRECTED || headers.contains(PlatformHeaders.NOT_EXECUTED),
                Optional.ofNullable(headers.get(PlatformHeaders.ANSWERING_START)),
                headers.contains(PlatformHeaders.SEAL),
                new BackpressureSignals(
                        limit(headers), rest(status, headers), "1".equals(headers.get(PlatformHeaders.LEAVING))));
    }

    /** Only a refusal asks for rest; elsewhere the header means something else, or nothing. */
    private static Optional<Duration> rest(int status, HttpFields headers) {
        String stated = headers.get(HttpHeader.RETRY_AFTER);
        if (status != UNAVAILABLE || stated == null) {
            return Optional.empty();
        }
        if (!DECIMAL.matcher(stated).matches()) {
            Logger.info("platform: event=unreadable-header header={} value=\"{}\"", HttpHeader.RETRY_AFTER, stated);
            return Optional.empty();
        }
        double seconds = Math.min(LONGEST_REST_SECONDS, Double.parseDouble(stated));
        return Optional.of(Duration.ofMillis((long) Math.ceil(seconds * MILLIS_PER_SECOND)));
    }

    private static AdvertisedLimit limit(HttpFields headers) {
        List<String> stated = headers.getValuesList(PlatformHeaders.RATE_LIMIT);
        if (stated.isEmpty()) {
            return new AdvertisedLimit.Unlimited();
        }
        if (stated.size() == 1 && DECIMAL.matcher(stated.getFirst()).matches()) {
            return new AdvertisedLimit.PerSecond(Double.parseDouble(stated.getFirst()));
        }
        String text = stated.toString();
        return new AdvertisedLimit.Malformed(text.substring(0, Math.min(text.length(), MOST_SHOWN)));
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
