package org.acaciapond.node.rollout;

import static org.acaciapond.node.rollout.AnalyzerFixture.SERVICE;
import static org.acaciapond.node.rollout.AnalyzerFixture.moving;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.node.rollout.AnalyzerFixture.Node;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.junit.jupiter.api.Test;

/** Guards moves against lapses, outages and lost answers at several judges over one table. */
class LocalRolloutTest {

  private static final TakenBackVersion FACT = new TakenBackVersion(SERVICE, "v2");

  private final AnalyzerFixture mesh = new AnalyzerFixture(2, new Random(1));
  private final Node first = mesh.nodes.get(0);
  private final Node second = mesh.nodes.get(1);

  private void run(int seconds, boolean bad) {
    for (int i = 0; i < seconds; i++) {
      mesh.second(moving(), bad);
    }
  }

  private void runUntilShare(double share) {
    for (int i = 0; i < AnalyzerFixture.BY_SECONDS && share() < share; i++) {
      mesh.second(moving(), false);
    }
    assertTrue(share() >= share, "share reached " + share());
  }

  private double share() {
    return mesh.table.rows.containsKey(RolloutGossip.rowKey(SERVICE)) ? mesh.row().share() : 0;
  }

  /** Guards against a good version that misses its set time in a mesh without faults. */
  @Test
  void goodVersionIsDoneInTime() {
    run(AnalyzerFixture.BY_SECONDS, false);
    assertEquals(RolloutState.DONE, mesh.row().state(), mesh.row().reason());
    assertEquals(0, mesh.invariants.violations());
  }

  /** Guards I4 in an outage: a judge that cannot reach the platform takes a version back. */
  @Test
  void judgeCutOffFromThePlatformTakesVersionBack() {
    runUntilShare(0.05);
    mesh.nodes.forEach(node -> node.platform.down = true);
    run(20, true);
    assertTrue(first.gossip.get(RolloutGossip.factKey(FACT)).isPresent());
    assertEquals(0, first.share(moving()));
    assertFalse(mesh.table.rows.containsKey(RolloutGossip.factKey(FACT)));
    mesh.nodes.forEach(node -> node.platform.down = false);
    run(20, true);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
  }

  /** Guards against a holder that is paused during a raise and resumes after its lease expired. */
  @Test
  void pausedHolderCannotRaiseAndItsSuccessorGoesOn() {
    runUntilShare(0.05);
    Node holder = holdsLease(first) ? first : second;
    Node successor = holder == first ? second : first;
    holder.platform.holdsWrites = true;
    RolloutRow before = mesh.row();
    // The holder sends its raise, which the network holds up, and pauses.
    for (int i = 0; i < 15; i++) {
      mesh.time.advance(Duration.ofSeconds(1));
      mesh.evidence(holder, false);
      holder.tick(moving());
    }
    assertEquals(before, mesh.row());
    for (int i = 0; i < 12 && mesh.row().leaseEpoch() == before.leaseEpoch(); i++) {
      mesh.time.advance(Duration.ofSeconds(1));
      successor.tick(moving());
    }
    RolloutRow claimed = mesh.row();
    assertTrue(claimed.leaseEpoch() > before.leaseEpoch(), "the successor claims the row");
    holder.platform.release();
    holder.settle();
    assertEquals(claimed, mesh.row(), "a late raise of the old holder took effect");
    run(40, false);
    assertTrue(mesh.row().share() > before.share(), "the successor goes on from the row");
  }

  private boolean holdsLease(Node node) {
    String lease = new String(mesh.table.rows.get("lease/rollout/" + SERVICE).value());
    return lease.contains("judge-" + node.index + "/");
  }

  /** Guards against too few new targets being given the load of all old ones. */
  @Test
  void moveWithTooFewNewTargetsWaits() {
    mesh.targets = AnalyzerFixture.targets(4, 1);
    run(20, false);
    assertEquals("waiting for targets: 1 new beside 4", mesh.row().reason());
    assertEquals(0, mesh.row().share());
    mesh.targets = AnalyzerFixture.targets(4, 4);
    run(15, false);
    assertTrue(mesh.row().share() > 0);
  }

  /** Guards against a start from empty memory that gives a taken-back version a new move. */
  @Test
  void factThatOnlyTheTableHoldsBarsTheMove() {
    byte[] value = RolloutGossip.encodeFact("operator", "2026-01-01T00:00:00Z", "wrong totals");
    mesh.table.write(RolloutGossip.factKey(FACT), 0, value);
    run(10, false);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
    assertTrue(second.gossip.get(RolloutGossip.factKey(FACT)).isPresent());
  }

  /** Guards I4 over a restart of all judges whose only trace of the fault is the recorded row. */
  @Test
  void recordedTakeBackOutlivesTheFact() {
    runUntilShare(0.05);
    run(20, true);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
    mesh.table.rows.remove(RolloutGossip.factKey(FACT));
    mesh.nodes.forEach(Node::restart);
    run(10, false);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
    assertEquals(0, first.share(moving()));
  }

  /** Guards against the monitoring ending for good when a node sees no old targets for a while. */
  @Test
  void fewSecondsWithoutOldTargetsDoNotEndTheComparison() {
    run(AnalyzerFixture.BY_SECONDS, false);
    assertEquals(RolloutState.DONE, mesh.row().state(), mesh.row().reason());
    mesh.targets = AnalyzerFixture.targets(0, 4);
    run(5, false);
    assertTrue(mesh.row().share() < 1);
    mesh.targets = AnalyzerFixture.targets(4, 4);
    run(30, true);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
  }

  /** Guards I4 and the grant order under lapses, restarts, outages, lost and repeated gossip. */
  @Property(tries = 150, seed = "1")
  void invariantsHoldOverFaults(@ForAll long seed) {
    Random random = new Random(seed);
    AnalyzerFixture faulty = new AnalyzerFixture(3, random);
    int badFrom = random.nextInt(2 * AnalyzerFixture.BY_SECONDS);
    ServiceConfig config = moving();
    for (int i = 0; i < 2 * AnalyzerFixture.BY_SECONDS; i++) {
      faulty.time.advance(Duration.ofSeconds(1));
      for (Node node : faulty.nodes) {
        switchFaults(node, random);
        boolean paused = random.nextInt(4) == 0;
        if (!paused) {
          faulty.evidence(node, i >= badFrom);
          node.tick(config);
        }
      }
      gossip(faulty, random);
      for (Node node : faulty.nodes) {
        boolean known = node.gossip.get(RolloutGossip.factKey(FACT)).isPresent();
        assertTrue(!known || node.share(config) == 0, "share after take-back");
      }
    }
    assertEquals(0, faulty.invariants.violations());
    heal(faulty, config, badFrom < AnalyzerFixture.BY_SECONDS / 2);
  }

  private static void switchFaults(Node node, Random random) {
    if (random.nextInt(40) == 0) {
      node.restart();
    }
    if (random.nextInt(10) == 0) {
      node.platform.down = random.nextInt(3) == 0;
      node.platform.losesAnswers = random.nextInt(3) == 0;
    }
    if (random.nextInt(10) == 0) {
      node.platform.holdsWrites = true;
    } else if (random.nextInt(6) == 0) {
      node.platform.release();
      node.settle();
    }
  }

  private static void gossip(AnalyzerFixture mesh, Random random) {
    for (int copies = random.nextInt(4); copies > 0; copies--) {
      Node from = mesh.nodes.get(random.nextInt(mesh.nodes.size()));
      mesh.exchange(from, mesh.nodes.get(random.nextInt(mesh.nodes.size())));
    }
  }

  /** After the faults end every node routes by the row, and a fact is never forgotten. */
  private static void heal(AnalyzerFixture mesh, ServiceConfig config, boolean bad) {
    for (Node node : mesh.nodes) {
      node.platform.down = false;
      node.platform.losesAnswers = false;
      node.platform.release();
      node.settle();
    }
    for (int i = 0; i < 30; i++) {
      mesh.second(config, bad);
    }
    boolean fact = mesh.nodes.get(0).book.takenBack(SERVICE).contains("v2");
    assertTrue(!fact || mesh.row().state() == RolloutState.TAKEN_BACK, "fact is not recorded");
    double expected = mesh.row().share();
    mesh.nodes.forEach(node -> assertEquals(expected, node.share(config)));
  }
}
