package org.acaciapond.protocol.transport;

/**
 * Address of the peer listener of a node.
 *
 * @param ip IP address
 * @param port TCP port
 */
public record PeerAddress(String ip, int port) {

  /** Parses an address of the form {@code ip:port}. */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("peer address is not ip:port: " + text);
    }
    return new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
