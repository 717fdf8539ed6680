package org.acaciapond.mesh.peer;

/**
 * Limiter of the requests for newer operator rows to one peer at a time. Each peer responds with
 * all rows, and when a node starts, every peer has newer ones.
 */
public final class StateRequestLimiter {

  // Covers a round trip and the delay of a busy node. After it, another peer is asked.
  private static final long RESPONSE_TIMEOUT_NANOS = 300_000_000L;

  private long requestedNanos;
  private boolean requested;

  /**
   * Returns whether to request the rows of a peer now. If so, no other peer is asked until a
   * response arrives or the timeout expires.
   *
   * @param knownVersion highest row version at this node
   * @param peerVersion highest row version at the peer
   * @param nowNanos monotonic time
   */
  public boolean tryRequest(long knownVersion, long peerVersion, long nowNanos) {
    if (peerVersion <= knownVersion
        || (requested && nowNanos - requestedNanos < RESPONSE_TIMEOUT_NANOS)) {
      return false;
    }
    requested = true;
    requestedNanos = nowNanos;
    return true;
  }

  /** Records that rows have arrived, which allows the next request. */
  public void responseReceived() {
    requested = false;
  }
}
