package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.acaciapond.mesh.peer.PeerTopology.Peer;
import org.junit.jupiter.api.Test;

class PeerTopologyTest {

  private static PeerTopology topology(String key, Peer... peers) {
    return new PeerTopology(key, "z1", List.of(peers));
  }

  /** Guards against a number of store calls that grows with the mesh. */
  @Test
  void readerRankFollowsKeysWithinDomain() {
    Peer a = new Peer("a", "z1", true);
    Peer b = new Peer("b", "z1", true);
    Peer otherDomain = new Peer("0", "z2", true);
    assertEquals(0, topology("a", b, otherDomain).readerRank());
    assertEquals(1, topology("b", a, otherDomain).readerRank());
    assertEquals(2, topology("c", a, b, otherDomain).readerRank());
  }

  /** Guards against domains without a reader while the store rejects their first nodes. */
  @Test
  void nodeRejectedByStoreIsReplacedAsReader() {
    Peer rejected = new Peer("a", "z1", false);
    assertEquals(0, topology("b", rejected).readerRank());
    assertEquals(0, topology("a", new Peer("b", "z1", true)).readerRank());
  }

  /** Guards against domains without updates, and against a message for every pair of nodes. */
  @Test
  void updatesGoToSameDomainAndOneNodeOfEachOtherDomain() {
    Peer[] peers = {
      new Peer("b", "z1", true),
      new Peer("c", "z1", false),
      new Peer("x", "z2", true),
      new Peer("y", "z2", true),
      new Peer("k", "z3", false)
    };
    assertEquals(Set.of("b", "c", "x", "k"), Set.copyOf(topology("a", peers).updateRecipients()));
    assertEquals(List.of(), topology("d", peers).updateRecipients());
  }
}
