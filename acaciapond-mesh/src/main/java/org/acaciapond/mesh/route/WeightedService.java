package org.acaciapond.mesh.route;

/** Part of a route's traffic: a service and its weight among the parts. */
public record WeightedService(String service, int weight) {}
