package org.acaciapond.node.rollout;

import static org.acaciapond.node.rollout.AnalyzerFixture.SERVICE;
import static org.acaciapond.node.rollout.AnalyzerFixture.configWithRollout;
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

/** Tests rollouts with several analyzers on one table, with lease losses and platform faults. */
class LocalRolloutTest {

  private static final TakenBackVersion TAKEN_BACK = new TakenBackVersion(SERVICE, "v2");

  private final AnalyzerFixture mesh = new AnalyzerFixture(2, new Random(1));
  private final Node first = mesh.nodes.get(0);
  private final Node second = mesh.nodes.get(1);

  private void run(int seconds, boolean bad) {
    for (int i = 0; i < seconds; i++) {
      mesh.advanceSecond(configWithRollout(), bad);
    }
  }

  private void runUntilShare(double share) {
    for (int i = 0; i < AnalyzerFixture.BY_SECONDS && share() < share; i++) {
      mesh.advanceSecond(configWithRollout(), false);
    }
    assertTrue(share() >= share, "share reached " + share());
  }

  private double share() {
    return mesh.table.rows.containsKey(RolloutGossip.rowKey(SERVICE)) ? mesh.row().share() : 0;
  }

  /** Guards against a good version that misses its deadline although there are no faults. */
  @Test
  void goodVersionIsDoneInTime() {
    run(AnalyzerFixture.BY_SECONDS, false);
    assertEquals(RolloutState.DONE, mesh.row().state(), mesh.row().reason());
    assertEquals(0, mesh.invariants.violations());
  }

  /** Guards against an analyzer that needs the platform to take a version back. */
  @Test
  void analyzerWithoutPlatformTakesVersionBack() {
    runUntilShare(0.05);
    mesh.nodes.forEach(node -> node.platform.down = true);
    run(20, true);
    assertTrue(first.gossip.get(RolloutGossip.takenBackKey(TAKEN_BACK)).isPresent());
    assertEquals(0, first.share(configWithRollout()));
    assertFalse(mesh.table.rows.containsKey(RolloutGossip.takenBackKey(TAKEN_BACK)));
    mesh.nodes.forEach(node -> node.platform.down = false);
    run(20, true);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
  }

  /** Guards against a raise by a holder that pauses and resumes after its lease has expired. */
  @Test
  void pausedHolderCannotRaiseAndSuccessorContinues() {
    runUntilShare(0.05);
    Node holder = holdsLease(first) ? first : second;
    Node successor = holder == first ? second : first;
    holder.platform.delaysRowWrites = true;
    RolloutRow before = mesh.row();
    // The holder sends a write that is delayed on its way to the table, and pauses.
    for (int i = 0; i < 15; i++) {
      mesh.time.advance(Duration.ofSeconds(1));
      mesh.sendEvidence(holder, false);
      holder.tick(configWithRollout());
    }
    assertEquals(before, mesh.row());
    for (int i = 0; i < 12 && mesh.row().leaseEpoch() == before.leaseEpoch(); i++) {
      mesh.time.advance(Duration.ofSeconds(1));
      successor.tick(configWithRollout());
    }
    RolloutRow claimed = mesh.row();
    assertTrue(claimed.leaseEpoch() > before.leaseEpoch(), "the successor did not claim the row");
    holder.platform.release();
    holder.runQueued();
    assertEquals(claimed, mesh.row(), "a delayed raise of the old holder took effect");
    run(40, false);
    assertTrue(mesh.row().share() > before.share(), "the successor did not continue from the row");
  }

  private boolean holdsLease(Node node) {
    String lease = new String(mesh.table.rows.get("lease/rollout/" + SERVICE).value());
    return lease.contains("analyzer-" + node.index + "/");
  }

  /** Guards against too few new targets getting the load of all old ones. */
  @Test
  void rolloutWithTooFewNewTargetsWaits() {
    mesh.targets = AnalyzerFixture.targets(4, 1);
    run(20, false);
    assertEquals("waiting for targets: 1 new beside 4", mesh.row().reason());
    assertEquals(0, mesh.row().share());
    mesh.targets = AnalyzerFixture.targets(4, 4);
    run(15, false);
    assertTrue(mesh.row().share() > 0);
  }

  /** Guards against a node that, after a start, begins a rollout to a taken-back version. */
  @Test
  void takeBackKnownOnlyToTablePreventsRollout() {
    byte[] value =
        RolloutGossip.encodeTakenBack("operator", "2026-01-01T00:00:00Z", "wrong totals");
    mesh.table.write(RolloutGossip.takenBackKey(TAKEN_BACK), 0, value);
    run(10, false);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
    assertTrue(second.gossip.get(RolloutGossip.takenBackKey(TAKEN_BACK)).isPresent());
  }

  /** Guards against traffic to a taken-back version if only its row remains after a restart. */
  @Test
  void recordedTakeBackSurvivesLossOfEntry() {
    runUntilShare(0.05);
    run(20, true);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
    mesh.table.rows.remove(RolloutGossip.takenBackKey(TAKEN_BACK));
    mesh.nodes.forEach(Node::restart);
    run(10, false);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
    assertEquals(0, first.share(configWithRollout()));
  }

  /** Guards against ending the analysis when a node briefly sees no old targets. */
  @Test
  void briefAbsenceOfOldTargetsDoesNotEndAnalysis() {
    run(AnalyzerFixture.BY_SECONDS, false);
    assertEquals(RolloutState.DONE, mesh.row().state(), mesh.row().reason());
    mesh.targets = AnalyzerFixture.targets(0, 4);
    run(5, false);
    assertTrue(mesh.row().share() < 1);
    mesh.targets = AnalyzerFixture.targets(4, 4);
    run(30, true);
    assertEquals(RolloutState.TAKEN_BACK, mesh.row().state());
  }

  /** Guards the invariants under lease losses, restarts, outages and lost or repeated gossip. */
  @Property(tries = 150, seed = "1")
  void invariantsHoldOverFaults(@ForAll long seed) {
    Random random = new Random(seed);
    AnalyzerFixture faulty = new AnalyzerFixture(3, random);
    int badFrom = random.nextInt(2 * AnalyzerFixture.BY_SECONDS);
    ServiceConfig config = configWithRollout();
    for (int i = 0; i < 2 * AnalyzerFixture.BY_SECONDS; i++) {
      faulty.time.advance(Duration.ofSeconds(1));
      for (Node node : faulty.nodes) {
        switchFaults(node, random);
        boolean paused = random.nextInt(4) == 0;
        if (!paused) {
          faulty.sendEvidence(node, i >= badFrom);
          node.tick(config);
        }
      }
      gossip(faulty, random);
      for (Node node : faulty.nodes) {
        boolean known = node.gossip.get(RolloutGossip.takenBackKey(TAKEN_BACK)).isPresent();
        assertTrue(!known || node.share(config) == 0, "share after take-back");
      }
    }
    assertEquals(0, faulty.invariants.violations());
    endFaultsAndCheck(faulty, config, badFrom < AnalyzerFixture.BY_SECONDS / 2);
  }

  private static void switchFaults(Node node, Random random) {
    if (random.nextInt(40) == 0) {
      node.restart();
    }
    if (random.nextInt(10) == 0) {
      node.platform.down = random.nextInt(3) == 0;
      node.platform.losesResponses = random.nextInt(3) == 0;
    }
    if (random.nextInt(10) == 0) {
      node.platform.delaysRowWrites = true;
    } else if (random.nextInt(6) == 0) {
      node.platform.release();
      node.runQueued();
    }
  }

  private static void gossip(AnalyzerFixture mesh, Random random) {
    for (int copies = random.nextInt(4); copies > 0; copies--) {
      Node from = mesh.nodes.get(random.nextInt(mesh.nodes.size()));
      mesh.exchangeGossip(from, mesh.nodes.get(random.nextInt(mesh.nodes.size())));
    }
  }

  /** Checks that without faults all nodes route by the row, and that a take-back is recorded. */
  private static void endFaultsAndCheck(AnalyzerFixture mesh, ServiceConfig config, boolean bad) {
    for (Node node : mesh.nodes) {
      node.platform.down = false;
      node.platform.losesResponses = false;
      node.platform.release();
      node.runQueued();
    }
    for (int i = 0; i < 30; i++) {
      mesh.advanceSecond(config, bad);
    }
    boolean takenBack = mesh.nodes.get(0).registry.takenBack(SERVICE).contains("v2");
    assertTrue(
        !takenBack || mesh.row().state() == RolloutState.TAKEN_BACK,
        "the take-back is not recorded");
    double expected = mesh.row().share();
    mesh.nodes.forEach(node -> assertEquals(expected, node.share(config)));
  }
}
