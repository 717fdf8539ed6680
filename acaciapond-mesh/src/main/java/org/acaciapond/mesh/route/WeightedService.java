package org.acaciapond.mesh.route;

/** Service that receives a share of a route's traffic in proportion to its weight. */
public record WeightedService(String service, int weight) {}
