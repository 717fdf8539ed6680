package org.acaciapond.mesh.route;

/** Limits of what a client may send and how long it may take or stay idle. */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

  /** Limits that hold until the first desired state is known. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 8 << 20, 3_000, 15_000);
}
