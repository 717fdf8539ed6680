package org.acaciapond.protocol.message;

/**
 * Invitation of the poller of a domain to subscribe to it; repeated as a sign of life.
 *
 * @param hostId host of the poller
 * @param domain its failure domain
 */
public record InviteMessage(String hostId, String domain) implements Message {}
