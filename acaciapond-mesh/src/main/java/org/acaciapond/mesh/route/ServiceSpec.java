package org.acaciapond.mesh.route;

/**
 * What the operator's text says of a service.
 *
 * @param name name of the service
 * @param healthPath path of the health probe
 * @param maxConnections connections that one target accepts from all callers together
 */
public record ServiceSpec(String name, String healthPath, int maxConnections) {}
