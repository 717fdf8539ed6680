package org.acaciapond.protocol.message;

/**
 * Invitation to subscribe to the poller of a failure domain, repeated as a heartbeat.
 *
 * @param hostId host of the poller
 * @param domain failure domain of the poller
 */
public record InviteMessage(String hostId, String domain) implements Message {}
