package org.acaciapond.mesh.route;

/**
 * Limits for connections of clients.
 *
 * @param maxHeaderBytes largest header section of a request
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMs longest time to receive a header section
 * @param idleTimeoutMs longest time without traffic on a connection
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

  /** Limits that apply until the first desired state is received. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 8 << 20, 3_000, 15_000);
}
