package org.acaciapond.membership;

import java.util.List;

/**
 * Message between two nodes; any message may carry updates of members and replicated values.
 *
 * @param senderId host id of the sender
 * @param senderIncarnation incarnation of the sender
 * @param sender address that the sender listens on
 * @param body purpose of the message
 * @param members member records that the sender passes on
 * @param entries replicated values that the sender passes on
 */
public record MembershipPacket(
    String senderId,
    long senderIncarnation,
    NodeAddress sender,
    MembershipBody body,
    List<Member> members,
    List<GossipEntry> entries) {

  /** Limit of an encoded packet, so that it fits one Ethernet frame with its headers. */
  public static final int MAX_BYTES = 1_200;

  /** Creates a packet. */
  public MembershipPacket {
    members = List.copyOf(members);
    entries = List.copyOf(entries);
  }
}
