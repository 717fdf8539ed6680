package org.acaciapond.node.rollout;

import static org.acaciapond.node.rollout.AnalyzerFixture.BY;
import static org.acaciapond.node.rollout.AnalyzerFixture.SERVICE;
import static org.acaciapond.node.rollout.AnalyzerFixture.START;
import static org.acaciapond.node.rollout.AnalyzerFixture.config;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.acaciapond.routing.target.TargetEndpoint;
import org.acaciapond.routing.target.VersionSplit;
import org.junit.jupiter.api.Test;

/** Tests the version splits of a node; a version that was taken back never gets traffic. */
class RolloutRegistryTest {

  private static final RolloutRow STARTED = RolloutRow.started(SERVICE, "v1", "v2", 0, START, BY);
  private static final GossipEntry TAKEN_BACK =
      RolloutGossip.takenBackEntry(
          RolloutGossip.takenBackKey(new TakenBackVersion(SERVICE, "v2")),
          RolloutGossip.encodeTakenBack("judge", START.toString(), "errors"));

  private final InMemoryGossipStore gossip = new InMemoryGossipStore();
  private List<TargetEndpoint> targets = AnalyzerFixture.endpoints(AnalyzerFixture.targets(4, 4));
  private final RolloutRegistry registry =
      new RolloutRegistry(gossip, service -> targets, new RolloutInvariants(true));

  private static RolloutRow withGrant(RolloutRow row, double share) {
    return row.withGrant(RolloutState.MOVING, share, 2, "", 1, START);
  }

  private static GossipEntry grant(RolloutRow row, long revision) {
    return RolloutGossip.grantEntry(new RecordedRow(row, revision));
  }

  private VersionSplit split(String current) {
    return registry.splitOf(config(current, null));
  }

  /** Guards against an older grant that replaces a newer one. */
  @Test
  void olderGrantChangesNothing() {
    RolloutRow small = withGrant(STARTED, 0.05);
    gossip.publish(grant(withGrant(small, 0.1), 3));
    gossip.publish(grant(small, 2));
    assertEquals(0.1, split("v1").newShare());
  }

  /** Guards against a grant that arrives after the version was taken back. */
  @Test
  void lateGrantAfterTakeBackGivesNoShare() {
    gossip.publish(grant(withGrant(STARTED, 0.05), 2));
    gossip.publish(TAKEN_BACK);
    gossip.publish(grant(withGrant(withGrant(STARTED, 0.05), 0.1), 3));
    assertGetsNoTraffic(split("v1"));
  }

  /** Guards against a configuration that names a taken-back version as the current one. */
  @Test
  void configuredVersionThatWasTakenBackGetsNoShare() {
    gossip.publish(grant(withGrant(STARTED, 0.05), 2));
    gossip.publish(TAKEN_BACK);
    assertGetsNoTraffic(split("v2"));
    assertEquals("v1", split("v2").oldVersion());
    RolloutRow next = RolloutRow.started(SERVICE, "v1", "v3", 9, START.plusSeconds(9), BY);
    gossip.publish(grant(next, 5));
    assertGetsNoTraffic(split("v2"));
    assertEquals("v1", split("v2").oldVersion());
    gossip.publish(grant(withGrant(next, 0.05), 6));
    assertGetsNoTraffic(split("v2"));
    assertEquals("v3", split("v2").newVersion());
  }

  /** Guards against traffic after a restart, when a node knows only the entry or only the row. */
  @Test
  void restartedNodeLearnsFromEntryOrRowAlone() {
    gossip.publish(TAKEN_BACK);
    assertGetsNoTraffic(split("v2"));
    InMemoryGossipStore other = new InMemoryGossipStore();
    RolloutRegistry restarted =
        new RolloutRegistry(other, service -> targets, new RolloutInvariants(true));
    other.publish(grant(STARTED.withGrant(RolloutState.TAKEN_BACK, 0, 0, "bad", 1, START), 4));
    assertEquals(Set.of("v2"), restarted.takenBack(SERVICE));
    assertGetsNoTraffic(restarted.splitOf(config("v2", null)));
  }

  private static void assertGetsNoTraffic(VersionSplit split) {
    assertTrue(split.takenBack().contains("v2"));
    assertTrue(!"v2".equals(split.newVersion()) || split.newShare() == 0);
  }

  /** Guards against two grants with the same number when a rollout follows another. */
  @Test
  void nextRolloutSupersedesLastGrant() {
    RolloutRow done = withGrant(STARTED, 0.95).withState(RolloutState.DONE, "complete", 1);
    gossip.publish(grant(done, 2));
    RolloutStarter starter = RolloutStarterTest.starter();
    RolloutRow next =
        starter
            .firstRow(
                RolloutStarterTest.configWithRolloutTo("v3", BY),
                java.util.Optional.of(done),
                false,
                new RolloutStarter.Counts(4, 4),
                2,
                START)
            .orElseThrow();
    gossip.publish(grant(next, 3));
    assertNull(split("v1").newVersion());
  }

  /** Guards against nodes that send a small share to different targets. */
  @Test
  void everyNodeSelectsSameHostsThatAreNotLeaving() {
    gossip.publish(grant(withGrant(STARTED, 0.05), 2));
    Set<String> chosen = split("v1").newTargetHostIds();
    assertEquals(2, chosen.size());
    List<TargetEndpoint> shuffled = new ArrayList<>(targets);
    Collections.shuffle(shuffled, new Random(3));
    targets = shuffled;
    assertEquals(chosen, split("v1").newTargetHostIds());
    String leaving = chosen.iterator().next();
    targets = shuffled.stream().map(t -> t.hostId().equals(leaving) ? leavingCopy(t) : t).toList();
    assertEquals(2, split("v1").newTargetHostIds().size());
    assertTrue(!split("v1").newTargetHostIds().contains(leaving));
  }

  private static TargetEndpoint leavingCopy(TargetEndpoint t) {
    return new TargetEndpoint(
        t.hostId(),
        t.address(),
        t.inboundPort(),
        t.failureDomain(),
        t.service(),
        t.version(),
        t.weight(),
        true);
  }

  /** Guards against a malformed row from another node that stops the handling of gossip. */
  @Test
  void malformedRowsAreIgnored() {
    for (String value : List.of("{}", "null", "[", "{\"service\":\"pay-engine\",\"share\":1}")) {
      gossip.publish(new GossipEntry("grant/" + SERVICE, 7 + value.length(), value.getBytes()));
    }
    gossip.publish(
        new GossipEntry("grant/other", 1, RolloutGossip.encode(withGrant(STARTED, 0.05))));
    assertTrue(registry.rows().isEmpty());
  }
}
