package org.cuminshelf.routes;

import java.util.Optional;

/**
 * A service that routes refer to.
 *
 * @param name           the name of the service
 * @param maxConnections maximum number of connections that one upstream accepts from all clients together
 * @param engine         the capacity of its engines; empty if its upstreams are not engines
 */
public record RoutedService(String name, int maxConnections, Optional<EngineCapacity> engine) {}
