package org.acaciapond.mesh.route;

/**
 * Service in the operator's configuration.
 *
 * @param name name of the service
 * @param healthPath path of the health probe
 * @param maxConnections maximum number of connections that one target accepts from all callers
 * @param coldRequestsPerS requests per second that a cold target tolerates, 0 if any number
 */
public record ServiceSpec(
    String name, String healthPath, int maxConnections, double coldRequestsPerS) {}
