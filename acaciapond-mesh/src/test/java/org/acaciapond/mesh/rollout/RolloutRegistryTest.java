package org.acaciapond.mesh.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.rollout.exposure.ExposureLimits;
import org.acaciapond.rollout.exposure.ExposureSchedule;
import org.junit.jupiter.api.Test;

class RolloutRegistryTest {

  private static final long MS = 1_000_000L;

  private final RolloutRegistry registry =
      new RolloutRegistry(new ExposureSchedule(new ExposureLimits(0.1, 50)));
  private final List<Candidate> targets = new ArrayList<>();

  RolloutRegistryTest() {
    addTarget("a", 100, "v1");
    addTarget("b", 110, "v1");
    addTarget("c", 500, "v2");
    addTarget("d", 510, "v2");
  }

  private void addTarget(String id, long startMs, String version) {
    targets.add(
        new Candidate(
            "n-" + id,
            "z",
            new TargetStatus(id, startMs, "s", version, TargetPhase.READY, 4, 0, false, 1)));
  }

  private String allowedTargets(double draw, long nowNanos) {
    StringBuilder ids = new StringBuilder();
    for (Candidate target : targets) {
      if (registry.versionFilter("s", targets, draw, nowNanos).test(target)) {
        ids.append(target.status().id());
      }
    }
    return ids.toString();
  }

  private static ShareGrant grant(long order, int share, RolloutState state) {
    return new ShareGrant("s", "v2", order, 1, share, state, 0);
  }

  private void recordAnswers(int calls) {
    for (int i = 0; i < calls; i++) {
      registry.recordCallAnswered("s");
    }
  }

  @Test
  void versionWithoutOrderGetsNoRequests() {
    assertEquals("ab", allowedTargets(0, 0));
  }

  @Test
  void newVersionGetsItsShareOnFewTargetsWhileTheGrantIsValid() {
    registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 1));
    recordAnswers(100);
    assertEquals("ab", allowedTargets(0, 0));
    registry.applyGrant(grant(1, 160, RolloutState.RUNNING), 0);
    assertEquals("c", allowedTargets(0.1, MS));
    assertEquals("ab", allowedTargets(0.5, MS));
    assertEquals("ab", allowedTargets(0.1, 2_500 * MS));
  }

  /**
   * Guards against an analyzer, or two of them, that grants an unproven version more than its
   * budget.
   */
  @Test
  void unprovenVersionGetsNoMoreThanTheBudgetWhateverIsGranted() {
    registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 1));
    registry.applyGrant(grant(1, 1000, RolloutState.RUNNING), 0);
    registry.applyGrant(grant(1, 900, RolloutState.RUNNING), 0);
    int toNew = 0;
    for (int call = 0; call < 400; call++) {
      TargetStatus target = allowedTargets(0.1, MS).equals("ab") ? target("a") : target("c");
      toNew += registry.recordCallSent(target) ? 1 : 0;
      registry.recordCallAnswered("s");
    }
    assertTrue(toNew > 0 && toNew <= 0.1 * 400, toNew + " calls");
    assertEquals(0, registry.budgetViolations());
  }

  @Test
  void refusedCallIsNotCountedAsExposure() {
    registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 1));
    registry.applyGrant(grant(1, 1000, RolloutState.RUNNING), 0);
    recordAnswers(20);
    assertEquals("cd", allowedTargets(0, MS));
    registry.recordCallSent(target("c"));
    assertEquals("ab", allowedTargets(0, MS));
    registry.recordCallRefused(target("c"));
    assertEquals("cd", allowedTargets(0, MS));
  }

  private TargetStatus target(String id) {
    return targets.stream()
        .map(Candidate::status)
        .filter(each -> each.id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void takenBackVersionIgnoresLaterGrants() {
    registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 1));
    assertTrue(registry.applyGrant(grant(1, 0, RolloutState.TAKEN_BACK), 0));
    assertFalse(registry.applyGrant(grant(1, 0, RolloutState.TAKEN_BACK), 0));
    registry.applyGrant(grant(1, 900, RolloutState.RUNNING), 0);
    assertEquals("ab", allowedTargets(0, MS));
    assertTrue(registry.runningOrders().isEmpty());
  }

  @Test
  void newOrderOfSameVersionStartsNewRollout() {
    registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 1));
    registry.applyGrant(grant(1, 0, RolloutState.TAKEN_BACK), 0);
    assertTrue(registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 9)));
    registry.applyProgress(new RolloutProgress("s", "v2", RolloutState.TAKEN_BACK), 5);
    assertEquals(1, registry.runningOrders().size());
    recordAnswers(100);
    registry.applyGrant(grant(9, 900, RolloutState.RUNNING), 0);
    assertEquals("cd", allowedTargets(0.1, MS));
  }

  private static RolloutOrder order(String version, long era, long number) {
    return new RolloutOrder("s", version, 14_000, new StoreVersion(era, number).toNumber());
  }

  /** Guards against a decided rollout that starts again as the operator wrote its order again. */
  @Test
  void orderWrittenAgainInALaterEraStaysDecided() {
    RolloutOrder first = order("v2", 1, 60);
    registry.applyOrder(first);
    registry.applyGrant(grant(first.number(), 0, RolloutState.TAKEN_BACK), 0);

    assertTrue(registry.renumber(order("v2", 2, 45)));
    assertFalse(registry.applyOrder(order("v2", 2, 45)));
    assertTrue(registry.runningOrders().isEmpty());
    assertEquals(order("v2", 2, 45).number(), registry.endedRollouts().get(0).orderNumber());

    assertFalse(registry.renumber(order("v2", 2, 80)));
    assertTrue(registry.applyOrder(order("v2", 2, 80)));
    assertEquals(1, registry.runningOrders().size());
  }

  /** Guards against a share that drops to 0 while a rollout goes on in a later era. */
  @Test
  void grantOfRunningRolloutStaysValidInALaterEra() {
    RolloutOrder first = order("v2", 1, 60);
    registry.applyOrder(first);
    recordAnswers(100);
    registry.applyGrant(grant(first.number(), 160, RolloutState.RUNNING), 0);

    assertTrue(registry.renumber(order("v2", 2, 45)));

    assertEquals("c", allowedTargets(0.1, MS));
  }

  /** Guards against a rollout to an earlier version because an older copy of the store names it. */
  @Test
  void replacedOrderInAnOlderCopyIsIgnored() {
    registry.applyOrder(order("v1", 1, 40));
    registry.applyOrder(order("v2", 1, 60));

    assertFalse(registry.renumber(order("v1", 2, 40)));
    assertFalse(registry.applyOrder(order("v1", 2, 40)));
    assertTrue(registry.renumber(order("v2", 2, 45)));
    assertEquals("v2", registry.runningOrders().get(0).toVersion());
  }

  @Test
  void completedVersionGetsAllRequests() {
    registry.applyOrder(new RolloutOrder("s", "v2", 14_000, 1));
    registry.applyGrant(grant(1, 1000, RolloutState.COMPLETED), 0);
    assertEquals("cd", allowedTargets(0.99, 100_000 * MS));
  }
}
