package org.acaciapond.membership;

/** Action that {@link MembershipState} asks its caller to execute. */
public sealed interface MembershipAction {

  /**
   * Sends a packet.
   *
   * @param to address of the receiver
   * @param packet packet to send
   */
  record Send(NodeAddress to, MembershipPacket packet) implements MembershipAction {}

  /**
   * Reports a change of the membership of this node.
   *
   * @param event what happened
   */
  record Notify(MembershipEvent event) implements MembershipAction {}
}
