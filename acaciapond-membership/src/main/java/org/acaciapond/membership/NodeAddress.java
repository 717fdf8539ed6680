package org.acaciapond.membership;

/**
 * Address of the peer listener of a node.
 *
 * @param ip IP address
 * @param port TCP port
 */
public record NodeAddress(String ip, int port) {

  /** Returns the address of the peer listener of a member. */
  public static NodeAddress of(Member member) {
    return new NodeAddress(member.ip(), member.peerPort());
  }
}
