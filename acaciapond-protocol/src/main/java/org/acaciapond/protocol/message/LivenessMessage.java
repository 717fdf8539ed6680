package org.acaciapond.protocol.message;

/**
 * Check of one connection; the transport sends and answers it itself.
 *
 * @param answer whether this answers the check of the other side
 */
public record LivenessMessage(boolean answer) implements Message {}
