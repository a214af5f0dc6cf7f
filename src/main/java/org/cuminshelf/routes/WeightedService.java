package org.cuminshelf.routes;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight  its share, against the sum of the route's weights
 */
public record WeightedService(String service, int weight) {}
