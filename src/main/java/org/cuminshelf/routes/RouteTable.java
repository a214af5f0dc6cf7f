package org.cuminshelf.routes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.organisations.Organisations;

/** The routes, services, organisations and caller limits of one configuration version. */
public final class RouteTable {

    private static final RouteTable EMPTY =
            new RouteTable(0, List.of(), Map.of(), Organisations.unrestricted(), CallerLimits.DEFAULT);

    private final long version;
    private final Map<String, RoutedService> services;
    private final Organisations organisations;
    private final CallerLimits limits;
    private final List<Route> routes;
    private final Map<String, HostRoutes> byHost = new HashMap<>();

    private RouteTable(
            long version,
            List<Route> routes,
            Map<String, RoutedService> services,
            Organisations organisations,
            CallerLimits limits) {
        this.version = version;
        this.services = services;
        this.organisations = organisations;
        this.limits = limits;
        this.routes = routes;
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), key -> new HostRoutes()).add(route));
    }

    /**
     * The routes of one host by path prefix. A lookup takes at most as many steps as the deepest prefix has segments,
     * independently of the number of routes; configurations with a thousand routes are common.
     */
    private static final class HostRoutes {
        private final Map<String, Route> byPrefix = new HashMap<>();
        private int maxDepth;

        private void add(Route route) {
            byPrefix.putIfAbsent(route.pathPrefix(), route);
            int slashes = (int) route.pathPrefix()
                    .chars()
                    .filter(character -> character == '/')
                    .count();
            maxDepth = Math.max(maxDepth, slashes);
        }

        private Optional<Route> longestMatch(String path) {
            Route found = null;
            int slash = path.indexOf('/');
            for (int depth = 1; depth <= maxDepth && slash >= 0; depth++) {
                Route route = byPrefix.get(path.substring(0, slash + 1));
                found = route == null ? found : route;
                slash = path.indexOf('/', slash + 1);
            }
            return Optional.ofNullable(found);
        }
    }

    /**
     * Returns the table in force before any configuration is known.
     *
     * @return a table without routes
     */
    public static RouteTable empty() {
        return EMPTY;
    }

    /**
     * Creates the table of a deployment without organisations.
     *
     * @param version  the version
     * @param routes   the routes
     * @param services the services, by name
     * @param limits   what callers may send
     * @return the table; see {@link #validationError()}
     */
    public static RouteTable of(
            long version, List<Route> routes, Map<String, RoutedService> services, CallerLimits limits) {
        return of(version, routes, services, Organisations.unrestricted(), limits);
    }

    /**
     * Creates a table.
     *
     * @param version       the version
     * @param routes        the routes
     * @param services      the services, by name
     * @param organisations the organisations with their keys
     * @param limits        what callers may send
     * @return the table; see {@link #validationError()}
     */
    public static RouteTable of(
            long version,
            List<Route> routes,
            Map<String, RoutedService> services,
            Organisations organisations,
            CallerLimits limits) {
        return new RouteTable(version, List.copyOf(routes), Map.copyOf(services), organisations, limits);
    }

    /**
     * Checks whether this table is valid.
     *
     * @return the first error with the name of its route; empty if the table is valid
     */
    public Optional<String> validationError() {
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (Route route : routes) {
            String errorPrefix = "route " + route.name() + ": ";
            if (!hostsAndPrefixes.add(route.host() + ' ' + route.pathPrefix())) {
                return Optional.of(errorPrefix + "another route has the same host and path prefix");
            }
            if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
                return Optional.of(errorPrefix + "its path prefix must begin and end with a slash");
            }
            if (route.timeoutMillis() <= 0) {
                return Optional.of(errorPrefix + "its timeout must be above 0 ms");
            }
            Optional<String> serviceError = serviceError(route);
            if (serviceError.isPresent()) {
                return serviceError.map(errorPrefix::concat);
            }
        }
        return organisations.validationError();
    }

    private Optional<String> serviceError(Route route) {
        int sum = 0;
        for (WeightedService service : route.services()) {
            if (!services.containsKey(service.service())) {
                return Optional.of("it names the unknown service " + service.service());
            }
            if (service.weight() < 0) {
                return Optional.of("the weight of " + service.service() + " is below 0");
            }
            sum += service.weight();
        }
        return sum > 0 ? Optional.empty() : Optional.of("the weights of its services add up to 0");
    }

    /**
     * Returns the version of this table.
     *
     * @return the version, 0 for the empty table
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on requests of callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the organisations that may send requests.
     *
     * @return the organisations
     */
    public Organisations organisations() {
        return organisations;
    }

    /**
     * Returns all routes.
     *
     * @return the routes in the order received
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns a service.
     *
     * @param name the name of the service
     * @return the service, or empty if it is unknown
     */
    public Optional<RoutedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route of a request: that with the longest matching prefix.
     *
     * @param host the value of the Host header; the port and upper case are ignored
     * @param path the path without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        int port = host.lastIndexOf(':');
        String name = (port > 0 ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
        return Optional.ofNullable(byHost.get(name)).flatMap(found -> found.longestMatch(path));
    }
}
