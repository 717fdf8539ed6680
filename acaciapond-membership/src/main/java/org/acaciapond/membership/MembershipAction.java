package org.acaciapond.membership;

/** Decision of {@link MembershipState} that its caller carries out. */
public sealed interface MembershipAction {

  /**
   * Sends a packet.
   *
   * @param to receiver
   * @param packet content
   */
  record Send(NodeAddress to, MembershipPacket packet) implements MembershipAction {}

  /**
   * Reports a change of the own standing.
   *
   * @param event what happened
   */
  record Notify(MembershipEvent event) implements MembershipAction {}
}
