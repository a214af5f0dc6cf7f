package org.cuminshelf.routes;

import java.util.Optional;

/**
 * A service that routes name.
 *
 * @param name           its name
 * @param maxConnections connections that one upstream takes from all callers together
 * @param engine         what its engines can do, where its upstreams are engines
 */
public record RoutedService(String name, int maxConnections, Optional<EngineCapacity> engine) {}
