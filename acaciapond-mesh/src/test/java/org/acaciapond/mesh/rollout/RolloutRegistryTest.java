package org.acaciapond.mesh.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.junit.jupiter.api.Test;

class RolloutRegistryTest {

  private static final long MS = 1_000_000L;

  private final RolloutRegistry book = new RolloutRegistry();
  private final List<Candidate> targets = new ArrayList<>();

  RolloutRegistryTest() {
    add("a", 100, "v1");
    add("b", 110, "v1");
    add("c", 500, "v2");
    add("d", 510, "v2");
  }

  private void add(String id, long born, String version) {
    targets.add(
        new Candidate(
            "n-" + id,
            "z",
            new TargetStatus(id, born, "s", version, TargetPhase.READY, 4, 0, false, 1)));
  }

  private String versions(double draw, long nowNanos) {
    StringBuilder ids = new StringBuilder();
    for (Candidate target : targets) {
      if (book.filter("s", targets, draw, nowNanos).test(target)) {
        ids.append(target.status().id());
      }
    }
    return ids.toString();
  }

  private static ShareGrant grant(long order, int share, RolloutState state) {
    return new ShareGrant("s", "v2", order, 1, share, state, 0);
  }

  @Test
  void versionThatNobodyOrderedGetsNothing() {
    assertEquals("ab", versions(0, 0));
  }

  @Test
  void newVersionGetsItsShareOnFewTargetsWhileTheGrantLives() {
    book.takeOrder(new RolloutOrder("s", "v2", 14_000, 1));
    assertEquals("ab", versions(0, 0));
    book.takeGrant(grant(1, 160, RolloutState.RUNNING), 0);
    assertEquals("c", versions(0.1, MS));
    assertEquals("ab", versions(0.5, MS));
    assertEquals("ab", versions(0.1, 2_500 * MS));
  }

  @Test
  void takenBackVersionStaysOutWhateverIsGrantedLater() {
    book.takeOrder(new RolloutOrder("s", "v2", 14_000, 1));
    assertTrue(book.takeGrant(grant(1, 0, RolloutState.TAKEN_BACK), 0));
    assertFalse(book.takeGrant(grant(1, 0, RolloutState.TAKEN_BACK), 0));
    book.takeGrant(grant(1, 900, RolloutState.RUNNING), 0);
    assertEquals("ab", versions(0, MS));
    assertTrue(book.running().isEmpty());
  }

  @Test
  void newOrderOfSameVersionStartsAnew() {
    book.takeOrder(new RolloutOrder("s", "v2", 14_000, 1));
    book.takeGrant(grant(1, 0, RolloutState.TAKEN_BACK), 0);
    assertTrue(book.takeOrder(new RolloutOrder("s", "v2", 14_000, 9)));
    book.progress(new RolloutProgress("s", "v2", RolloutState.TAKEN_BACK), 5);
    assertEquals(1, book.running().size());
    book.takeGrant(grant(9, 900, RolloutState.RUNNING), 0);
    assertEquals("cd", versions(0.1, MS));
  }

  @Test
  void completedVersionGetsEverything() {
    book.takeOrder(new RolloutOrder("s", "v2", 14_000, 1));
    book.takeGrant(grant(1, 1000, RolloutState.COMPLETED), 0);
    assertEquals("cd", versions(0.99, 100_000 * MS));
  }
}
