package org.acaciapond.protocol.message;

/**
 * Request of a starting node for the highest version that a replica holds.
 *
 * @param hostId host of the requesting node
 */
public record MinimumVersionRequestMessage(String hostId) implements Message {}
