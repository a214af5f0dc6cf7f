package org.cuminshelf.routes;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight  its weight; its share of the requests is this weight over the sum of the route's weights
 */
public record WeightedService(String service, int weight) {}
