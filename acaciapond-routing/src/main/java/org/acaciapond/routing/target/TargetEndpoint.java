package org.acaciapond.routing.target;

/**
 * Announced target of a service, as seen by the nodes of its callers.
 *
 * @param hostId ID of the host
 * @param address IP address of the host
 * @param inboundPort inbound port of the node on that host
 * @param failureDomain failure domain of the host
 * @param service service of the target
 * @param version version that the target announced
 * @param weight relative capacity, from 1
 * @param leaving whether the target is leaving and accepts no new calls
 */
public record TargetEndpoint(
    String hostId,
    String address,
    int inboundPort,
    String failureDomain,
    String service,
    String version,
    int weight,
    boolean leaving) {}
