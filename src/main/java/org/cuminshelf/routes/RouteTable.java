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

/** All routes, services and organisations under one version, checked. */
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
     * The routes of one host by their prefixes. A lookup costs as many steps as the deepest prefix has segments,
     * however many routes there are; configurations of a thousand routes are usual.
     */
    private static final class HostRoutes {
        private final Map<String, Route> byPrefix = new HashMap<>();
        private int deepest;

        private void add(Route route) {
            byPrefix.putIfAbsent(route.pathPrefix(), route);
            int slashes =
                    (int) route.pathPrefix().chars().filter(one -> one == '/').count();
            deepest = Math.max(deepest, slashes);
        }

        private Optional<Route> longest(String path) {
            Route found = null;
            int slash = path.indexOf('/');
            for (int depth = 1; depth <= deepest && slash >= 0; depth++) {
                Route route = byPrefix.get(path.substring(0, slash + 1));
                found = route == null ? found : route;
                slash = path.indexOf('/', slash + 1);
            }
            return Optional.ofNullable(found);
        }
    }

    /**
     * The table before any configuration is known.
     *
     * @return a table without routes
     */
    public static RouteTable empty() {
        return EMPTY;
    }

    /**
     * Makes the table of a deployment that knows no organisations.
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
     * Makes a table.
     *
     * @param version       the version
     * @param routes        the routes
     * @param services      the services, by name
     * @param organisations the organisations, by their keys
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
     * Finds what makes this table unfit to be in force.
     *
     * @return the first problem, with the route it is about
     */
    public Optional<String> validationError() {
        Set<String> places = new HashSet<>();
        for (Route route : routes) {
            String where = "route " + route.name() + ": ";
            if (!places.add(route.host() + ' ' + route.pathPrefix())) {
                return Optional.of(where + "another route has the same host and path prefix");
            }
            if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
                return Optional.of(where + "its path prefix must begin and end with a slash");
            }
            if (route.timeoutMillis() <= 0) {
                return Optional.of(where + "its timeout must be above 0 ms");
            }
            Optional<String> wrongService = serviceProblem(route);
            if (wrongService.isPresent()) {
                return wrongService.map(where::concat);
            }
        }
        return organisations.validationError();
    }

    private Optional<String> serviceProblem(Route route) {
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
     * The version under which this table was sent.
     *
     * @return the version, 0 for the empty table
     */
    public long version() {
        return version;
    }

    /**
     * What callers may send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * In whose name requests may run.
     *
     * @return the organisations
     */
    public Organisations organisations() {
        return organisations;
    }

    /**
     * All routes.
     *
     * @return the routes as sent
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * A service.
     *
     * @param name its name
     * @return the service, if it is in this table
     */
    public Optional<RoutedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route of a request: that with the longest prefix.
     *
     * @param host the host as the caller sent it; a port and upper case don't count
     * @param path the path without query
     * @return the route, if there is one
     */
    public Optional<Route> route(String host, String path) {
        int port = host.lastIndexOf(':');
        String name = (port > 0 ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
        return Optional.ofNullable(byHost.get(name)).flatMap(found -> found.longest(path));
    }
}
