package org.acaciapond.protocol.message;

/**
 * Announcement of one node and its target.
 *
 * @param hostId identity of the host
 * @param incarnation grows each time the node contradicts what others say of it
 * @param ip IP address of the host
 * @param peerPort port of the peer listener
 * @param inboundPort port of the inbound listener
 * @param failureDomain failure domain of the host
 * @param service service of the target, or empty when none is announced
 * @param targetVersion version of the target
 * @param weight relative capacity of the target
 * @param leaving whether the target is leaving
 */
public record MemberRecord(
    String hostId,
    long incarnation,
    String ip,
    int peerPort,
    int inboundPort,
    String failureDomain,
    String service,
    String targetVersion,
    int weight,
    boolean leaving) {}
