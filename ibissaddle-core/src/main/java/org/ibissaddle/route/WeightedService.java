package org.ibissaddle.route;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route
 */
public record WeightedService(String service, double weight) {}
