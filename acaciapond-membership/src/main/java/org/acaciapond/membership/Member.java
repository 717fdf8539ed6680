package org.acaciapond.membership;

/**
 * Record of one node and the target on its host.
 *
 * @param hostId identity of the host
 * @param incarnation number that the node raises to replace older records of itself
 * @param ip IP address of the host
 * @param peerPort port of the peer listener
 * @param inboundPort port of the inbound listener
 * @param failureDomain failure domain of the host
 * @param region region of the host
 * @param service service of the target, or empty if none is announced
 * @param targetVersion version of the target, or empty if none is announced
 * @param weight relative capacity of the target, at least 1
 * @param state state of the node
 */
public record Member(
    String hostId,
    long incarnation,
    String ip,
    int peerPort,
    int inboundPort,
    String failureDomain,
    String region,
    String service,
    String targetVersion,
    int weight,
    MemberState state) {}
