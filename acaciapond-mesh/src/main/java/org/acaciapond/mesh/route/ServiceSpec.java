package org.acaciapond.mesh.route;

/**
 * Service in the operator's configuration.
 *
 * @param name name of the service
 * @param healthPath path of the health probe
 * @param maxConnections maximum number of connections that one target accepts from all callers
 */
public record ServiceSpec(String name, String healthPath, int maxConnections) {}
