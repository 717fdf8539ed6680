package org.acaciapond.protocol.message;

/**
 * Question of a starting node for the highest version that a replica holds.
 *
 * @param hostId host that asks
 */
public record MinimumVersionRequestMessage(String hostId) implements Message {}
