package org.acaciapond.mesh.peer;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Scheduler of the requests for newer operator rows. It keeps the version that each peer has
 * announced until this node holds it, asks one peer at a time, and asks another one with a growing
 * timeout if a peer does not respond.
 */
public final class StateRequestScheduler {

  // Covers a round trip and the delay of a busy node.
  private static final long MIN_TIMEOUT_NANOS = 300_000_000L;
  // A response that is slow because links are saturated must not be requested again and again.
  private static final long MAX_TIMEOUT_NANOS = 2_400_000_000L;

  private final Map<String, Long> announced = new LinkedHashMap<>();
  // Peers that did not respond in time, or whose response lacked what they had announced.
  private final Set<String> failed = new HashSet<>();
  private @Nullable String asked;
  private long askedNanos;
  private long timeoutNanos = MIN_TIMEOUT_NANOS;
  private long retryFailedAtNanos;

  /** Records the version that a connected peer has announced. */
  public void announce(String peer, long version) {
    announced.merge(peer, version, Math::max);
  }

  /** Forgets a peer that is no longer connected. */
  public void disconnected(String peer) {
    announced.remove(peer);
    failed.remove(peer);
    if (peer.equals(asked)) {
      asked = null;
    }
  }

  /**
   * Records that rows have arrived, which allows the next request.
   *
   * @param knownVersion highest row version at this node, including these rows
   * @param nowNanos monotonic time
   */
  public void responseReceived(long knownVersion, long nowNanos) {
    String responder = asked;
    asked = null;
    if (responder != null && announced.getOrDefault(responder, knownVersion) > knownVersion) {
      addFailed(responder, nowNanos);
    } else {
      failed.clear();
      timeoutNanos = MIN_TIMEOUT_NANOS;
    }
  }

  private void addFailed(String peer, long nowNanos) {
    failed.add(peer);
    retryFailedAtNanos = nowNanos + timeoutNanos;
    timeoutNanos = Math.min(MAX_TIMEOUT_NANOS, timeoutNanos * 2);
  }

  /** Returns whether a peer has announced rows that are newer than the given version. */
  public boolean isBehind(long knownVersion) {
    return announced.values().stream().anyMatch(version -> version > knownVersion);
  }

  /**
   * Returns the peer to ask now, or null if no peer has newer rows or a response is still expected.
   *
   * @param knownVersion highest row version at this node
   * @param nowNanos monotonic time
   */
  public @Nullable String nextPeer(long knownVersion, long nowNanos) {
    String pending = asked;
    if (pending != null) {
      if (nowNanos - askedNanos < timeoutNanos) {
        return null;
      }
      addFailed(pending, nowNanos);
      retryFailedAtNanos = nowNanos;
    }
    String next = newestPeer(knownVersion);
    if (next == null && nowNanos - retryFailedAtNanos >= 0) {
      failed.clear();
      next = newestPeer(knownVersion);
    }
    asked = next;
    askedNanos = nowNanos;
    return next;
  }

  private @Nullable String newestPeer(long knownVersion) {
    String newest = null;
    long newestVersion = knownVersion;
    for (Map.Entry<String, Long> peer : announced.entrySet()) {
      if (peer.getValue() > newestVersion && !failed.contains(peer.getKey())) {
        newest = peer.getKey();
        newestVersion = peer.getValue();
      }
    }
    return newest;
  }
}
