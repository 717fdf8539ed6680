package org.acaciapond.protocol.message;

/**
 * Liveness check of a connection, or the response to one; both are sent by the transport itself.
 *
 * @param response whether this is the response to a check of the peer
 */
public record LivenessMessage(boolean response) implements Message {}
