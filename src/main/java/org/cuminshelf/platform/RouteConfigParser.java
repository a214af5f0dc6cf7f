package org.cuminshelf.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.EngineCapacity;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.routes.RoutedService;
import org.cuminshelf.routes.WeightedService;

/** Parses and validates the JSON route configuration that the platform's operators upload. */
final class RouteConfigParser {

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final long DEFAULT_ROUTE_TIMEOUT_MILLIS = 60_000;

    private RouteConfigParser() {}

    /**
     * Parses and validates a configuration.
     *
     * @param document the JSON document
     * @return the route table, or the reason why the document is invalid; the reason never contains an API key
     */
    static Either<String, RouteTable> parse(byte[] document) {
        try {
            JsonNode root = JSON.readTree(document);
            if (root == null || !root.isObject()) {
                return Either.left("the configuration is no JSON object");
            }
            if (!root.path("version").canConvertToLong() || root.path("version").longValue() <= 0) {
                return Either.left("'version' must be a whole number above 0");
            }
            RouteTable table = table(root);
            Optional<String> problem = table.validationError();
            return problem.isPresent() ? Either.left(problem.get()) : Either.right(table);
        } catch (JsonProcessingException e) {
            return Either.left("the configuration can't be read: " + errorPosition(e));
        } catch (IOException e) {
            return Either.left(e.getMessage());
        }
    }

    /**
     * Describes the position of a syntax error. Jackson's own message is not used: it quotes the document, with API
     * keys.
     */
    private static String errorPosition(JsonProcessingException error) {
        return Optional.ofNullable(error.getLocation())
                .map(location -> "no sound JSON at line " + location.getLineNr() + ", column " + location.getColumnNr())
                .orElse("no sound JSON");
    }

    private static RouteTable table(JsonNode root) throws IOException {
        if (!root.path("routes").isArray() || !root.path("services").isArray()) {
            throw new IOException("'routes' and 'services' must be lists");
        }
        Map<String, RoutedService> services = new HashMap<>();
        for (JsonNode node : root.path("services")) {
            RoutedService service = service(node);
            services.put(service.name(), service);
        }
        List<Route> routes = new ArrayList<>();
        for (JsonNode node : root.path("routes")) {
            routes.add(route(node));
        }
        return RouteTable.of(
                root.path("version").longValue(),
                routes,
                services,
                organisations(root.path("tenants")),
                callerLimits(root.path("limits")));
    }

    /** Reads the organisations, which the platform calls tenants. Without that list no API keys are required. */
    private static Organisations organisations(JsonNode list) throws IOException {
        if (list.isMissingNode() || list.isNull()) {
            return Organisations.unrestricted();
        }
        if (!list.isArray()) {
            throw new IOException("'tenants' must be a list");
        }
        List<Organisation> all = new ArrayList<>();
        for (JsonNode node : list) {
            all.add(organisation(node));
        }
        return Organisations.of(all);
    }

    private static Organisation organisation(JsonNode node) throws IOException {
        String name = text(node, "name");
        JsonNode list = node.path("apiKeys");
        if (!list.isArray() && !list.isMissingNode()) {
            throw new IOException("'apiKeys' of " + name + " must be a list");
        }
        List<ApiKeyDigest> keys = new ArrayList<>();
        for (JsonNode key : list) {
            if (!key.isTextual() || key.textValue().isEmpty()) {
                throw new IOException("a key of " + name + " is empty or no text");
            }
            keys.add(ApiKeyDigest.of(key.textValue()));
        }
        boolean hasPriority = node.hasNonNull("priority");
        OptionalInt priority = hasPriority ? OptionalInt.of((int) number(node, "priority", 0)) : OptionalInt.empty();
        return new Organisation(name, keys, priority);
    }

    private static RoutedService service(JsonNode node) throws IOException {
        JsonNode engine = node.path("engine");
        Optional<EngineCapacity> capacity = engine.isObject()
                ? Optional.of(new EngineCapacity(
                        engine.path("slots").asInt(1),
                        engine.path("kvCapacityTokens").asLong(0),
                        engine.path("stride").asInt(1),
                        engine.path("kvTokenBytes").asDouble(0)))
                : Optional.empty();
        return new RoutedService(text(node, "name"), node.path("maxConns").asInt(Integer.MAX_VALUE), capacity);
    }

    private static Route route(JsonNode node) throws IOException {
        List<WeightedService> services = new ArrayList<>();
        for (JsonNode share : node.path("trafficSplit")) {
            services.add(new WeightedService(text(share, "service"), (int) number(share, "weight", 0)));
        }
        if (services.isEmpty()) {
            services.add(new WeightedService(text(node, "service"), 1));
        }
        long timeout = number(node, "timeoutMs", DEFAULT_ROUTE_TIMEOUT_MILLIS);
        return new Route(
                node.path("name").asText(""),
                text(node, "host").toLowerCase(Locale.ROOT),
                text(node, "pathPrefix"),
                requestKind(text(node, "routeKind")),
                timeout,
                number(node, "targetLatencyMs", timeout),
                (int) number(node, "priority", 0),
                services,
                (int) Math.max(1, number(node, "maxAttempts", 1)),
                node.path("resumable").asBoolean(false),
                Math.max(0, number(node, "gapAimMs", 0)),
                node.path("public").asBoolean(false));
    }

    private static RequestKind requestKind(String value) throws IOException {
        return switch (value) {
            case "idempotent" -> RequestKind.IDEMPOTENT;
            case "non_idempotent" -> RequestKind.NON_IDEMPOTENT;
            case "stream" -> RequestKind.STREAM;
            default -> throw new IOException("'routeKind' is " + value + ", which is no known kind");
        };
    }

    private static CallerLimits callerLimits(JsonNode node) throws IOException {
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                (int) number(node, "maxHeaderBytes", defaults.maxHeaderBytes()),
                (int) number(node, "maxBodyBytes", defaults.maxBodyBytes()),
                number(node, "headerTimeoutMs", defaults.headerTimeoutMillis()),
                number(node, "idleTimeoutMs", defaults.idleTimeoutMillis()));
    }

    private static String text(JsonNode node, String name) throws IOException {
        String value = node.path(name).textValue();
        if (value == null) {
            throw new IOException("'" + name + "' is missing or no text");
        }
        return value;
    }

    private static long number(JsonNode node, String name, long defaultValue) throws IOException {
        JsonNode value = node.path(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber()) {
            throw new IOException("'" + name + "' must be a number");
        }
        return value.longValue();
    }
}
