package org.acaciapond.membership;

import java.util.List;

/**
 * Membership message between two nodes; members and replicated values may piggyback on any message.
 *
 * @param senderId host id of the sender
 * @param senderIncarnation incarnation of the sender
 * @param sender address of the peer listener of the sender
 * @param body type-specific part
 * @param members member records gossiped by the sender
 * @param entries replicated values gossiped by the sender
 */
public record MembershipPacket(
    String senderId,
    long senderIncarnation,
    NodeAddress sender,
    MembershipBody body,
    List<Member> members,
    List<GossipEntry> entries) {

  /** Limit of an encoded packet, which with its headers fits into one Ethernet frame. */
  public static final int MAX_BYTES = 1_200;

  /** Creates a packet. */
  public MembershipPacket {
    members = List.copyOf(members);
    entries = List.copyOf(entries);
  }
}
