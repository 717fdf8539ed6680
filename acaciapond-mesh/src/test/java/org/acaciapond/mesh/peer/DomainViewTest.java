package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.acaciapond.mesh.peer.DomainView.Peer;
import org.junit.jupiter.api.Test;

class DomainViewTest {

  private static DomainView view(String key, Peer... peers) {
    return new DomainView(key, "z1", List.of(peers));
  }

  /** Guards against calls to the store whose number grows with the mesh. */
  @Test
  void onlyTheFirstNodesOfDomainAskTheStore() {
    Peer a = new Peer("a", "z1", true);
    Peer b = new Peer("b", "z1", true);
    Peer far = new Peer("0", "z2", true);
    assertEquals(0, view("a", b, far).readerRank());
    assertEquals(1, view("b", a, far).readerRank());
    assertEquals(2, view("c", a, b, far).readerRank());
  }

  /** Guards against domains without a reader while the store turns their first nodes away. */
  @Test
  void nodeThatTheStoreTurnsAwayIsReplaced() {
    Peer away = new Peer("a", "z1", false);
    assertEquals(0, view("b", away).readerRank());
    assertEquals(0, view("a", new Peer("b", "z1", true)).readerRank());
  }

  /** Guards against domains that hear nothing, and against one message a pair of nodes. */
  @Test
  void rowsGoToTheOwnDomainAndToOneNodeOfEachOther() {
    Peer[] peers = {
      new Peer("b", "z1", true),
      new Peer("c", "z1", false),
      new Peer("x", "z2", true),
      new Peer("y", "z2", true),
      new Peer("k", "z3", false)
    };
    assertEquals(Set.of("b", "c", "x", "k"), Set.copyOf(view("a", peers).toldOfRows()));
    assertEquals(List.of(), view("d", peers).toldOfRows());
  }
}
