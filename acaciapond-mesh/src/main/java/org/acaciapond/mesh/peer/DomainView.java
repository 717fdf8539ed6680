package org.acaciapond.mesh.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What follows from the nodes that this one is connected to, without agreement: which nodes ask the
 * store for changes, and whom a node tells of new rows.
 *
 * <p>In each failure domain the two lowest keys among the nodes that the store serves ask it. What
 * is new goes to all nodes of the own domain and to the lowest key of each other one, which passes
 * it on; so a domain whose nodes are all turned away still hears of it.
 */
public final class DomainView {

  private final String selfKey;
  private final String selfDomain;
  private final List<Peer> peers;

  /**
   * A connected node.
   *
   * @param key key of the node
   * @param domain its failure domain
   * @param readsStore whether the store serves it, as far as it has told
   */
  public record Peer(String key, String domain, boolean readsStore) {}

  /** Creates a view of the connected nodes. */
  public DomainView(String selfKey, String selfDomain, List<Peer> peers) {
    this.selfKey = selfKey;
    this.selfDomain = selfDomain;
    this.peers = List.copyOf(peers);
  }

  /** Returns how many nodes of the own domain come before this one in asking the store. */
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

  /** Returns the nodes that this one tells of new rows. */
  public List<String> toldOfRows() {
    List<String> told = new ArrayList<>();
    Map<String, String> lowest = new HashMap<>();
    int before = 0;
    for (Peer peer : peers) {
      if (peer.domain().equals(selfDomain)) {
        told.add(peer.key());
        before += peer.key().compareTo(selfKey) < 0 ? 1 : 0;
      } else {
        lowest.merge(
            peer.domain(), peer.key(), (held, next) -> held.compareTo(next) < 0 ? held : next);
      }
    }
    // Two nodes a domain tell, so that one may fail at the moment of a change.
    if (before > 1) {
      return List.of();
    }
    told.addAll(lowest.values());
    return told;
  }
}
