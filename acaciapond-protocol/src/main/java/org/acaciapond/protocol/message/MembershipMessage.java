package org.acaciapond.protocol.message;

import org.acaciapond.membership.MembershipPacket;

/**
 * Message of the membership protocol.
 *
 * @param packet content of the message
 */
public record MembershipMessage(MembershipPacket packet) implements Message {}
