package org.acaciapond.mesh.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Topology of the nodes that this one is connected to. Each node derives from it, without a
 * consensus protocol, whether it polls the store for changes and which nodes it sends row updates
 * to.
 *
 * <p>In each failure domain, the two nodes with the lowest keys among those that can read the store
 * poll it. Updates go to all nodes of the same domain and to the node with the lowest key in each
 * other domain, which forwards them. A domain in which the store rejects all nodes therefore still
 * receives updates.
 */
public final class PeerTopology {

  private final String selfKey;
  private final String selfDomain;
  private final List<Peer> peers;

  /**
   * Connected node.
   *
   * @param key key of the node
   * @param domain its failure domain
   * @param readsStore whether it can read the store, according to its latest status
   */
  public record Peer(String key, String domain, boolean readsStore) {}

  /** Creates a topology of this node and the connected ones. */
  public PeerTopology(String selfKey, String selfDomain, List<Peer> peers) {
    this.selfKey = selfKey;
    this.selfDomain = selfDomain;
    this.peers = List.copyOf(peers);
  }

  /**
   * Returns how many connected nodes of the same failure domain precede this one as readers of the
   * store.
   */
  public int readerRank() {
    int rank = 0;
    for (Peer peer : peers) {
      if (peer.domain().equals(selfDomain)
          && peer.readsStore()
          && peer.key().compareTo(selfKey) < 0) {
        rank++;
      }
    }
    return rank;
  }

  /** Returns the keys of the nodes that this one sends row updates to. */
  public List<String> updateRecipients() {
    List<String> recipients = new ArrayList<>();
    Map<String, String> lowestKeys = new HashMap<>();
    int lowerKeys = 0;
    for (Peer peer : peers) {
      if (peer.domain().equals(selfDomain)) {
        recipients.add(peer.key());
        lowerKeys += peer.key().compareTo(selfKey) < 0 ? 1 : 0;
      } else {
        lowestKeys.merge(
            peer.domain(),
            peer.key(),
            (known, other) -> known.compareTo(other) < 0 ? known : other);
      }
    }
    // The two nodes with the lowest keys of a domain send updates, so that one of them may fail
    // during a change.
    if (lowerKeys > 1) {
      return List.of();
    }
    recipients.addAll(lowestKeys.values());
    return recipients;
  }
}
