package org.acaciapond.mesh.peer;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.store.StoreVersion;
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

  private final DoubleSupplier random;
  private final Map<String, StoreVersion> announced = new LinkedHashMap<>();
  // Peers that did not respond in time, or whose response lacked what they had announced.
  private final Set<String> failed = new HashSet<>();
  private @Nullable String asked;
  private long askedNanos;
  private long timeoutNanos = MIN_TIMEOUT_NANOS;
  private long retryFailedAtNanos;

  /**
   * Creates a scheduler.
   *
   * @param random uniform random numbers from [0, 1), which spread the requests of starting nodes
   */
  public StateRequestScheduler(DoubleSupplier random) {
    this.random = random;
  }

  /** Records the version that a connected peer has announced. */
  public void announce(String peer, StoreVersion version) {
    announced.merge(peer, version, StoreVersion::max);
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
  public void responseReceived(StoreVersion knownVersion, long nowNanos) {
    String responder = asked;
    asked = null;
    StoreVersion expectedVersion =
        responder == null ? knownVersion : announced.getOrDefault(responder, knownVersion);
    if (expectedVersion.isAfter(knownVersion)) {
      // Peers that announced no more than the responder would lack the same rows.
      announced.forEach(
          (peer, version) -> {
            if (!version.isAfter(expectedVersion)) {
              failed.add(peer);
            }
          });
      retryFailedAtNanos = nowNanos + timeoutNanos;
      timeoutNanos = longerTimeoutNanos();
    } else {
      failed.clear();
      timeoutNanos = MIN_TIMEOUT_NANOS;
    }
  }

  private long longerTimeoutNanos() {
    return Math.min(MAX_TIMEOUT_NANOS, timeoutNanos * 2);
  }

  /** Returns whether a peer has announced rows that are newer than the given version. */
  public boolean isBehind(StoreVersion knownVersion) {
    return announced.values().stream().anyMatch(version -> version.isAfter(knownVersion));
  }

  /**
   * Returns the peer to ask now, or null if no peer has newer rows or a response is still expected.
   *
   * @param knownVersion highest row version at this node
   * @param nowNanos monotonic time
   */
  public @Nullable String nextPeer(StoreVersion knownVersion, long nowNanos) {
    String pending = asked;
    if (pending != null) {
      if (nowNanos - askedNanos < timeoutNanos) {
        return null;
      }
      failed.add(pending);
      retryFailedAtNanos = nowNanos;
      timeoutNanos = longerTimeoutNanos();
    }
    String next = choosePeer(knownVersion);
    if (next == null && nowNanos - retryFailedAtNanos >= 0) {
      failed.clear();
      next = choosePeer(knownVersion);
    }
    asked = next;
    askedNanos = nowNanos;
    return next;
  }

  private @Nullable String choosePeer(StoreVersion knownVersion) {
    List<Map.Entry<String, StoreVersion>> newer =
        announced.entrySet().stream()
            .filter(
                peer -> peer.getValue().isAfter(knownVersion) && !failed.contains(peer.getKey()))
            .toList();
    if (newer.isEmpty()) {
      return null;
    }
    // The first response to a node without rows is the whole state, which the newest peer alone
    // could not send to all nodes that start together.
    return knownVersion.equals(StoreVersion.NONE)
        ? newer.get((int) (random.getAsDouble() * newer.size())).getKey()
        : Collections.max(newer, Map.Entry.comparingByValue()).getKey();
  }
}
