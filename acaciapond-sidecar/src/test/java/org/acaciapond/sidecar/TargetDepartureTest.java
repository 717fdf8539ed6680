package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.acaciapond.standin.StoreFault;
import org.junit.jupiter.api.Test;

/** Integration tests of departures of targets that their nodes have confirmed. */
class TargetDepartureTest extends MeshTest {

  private static final int LATE_CHECK_INS = 60;
  private static final int CHECK_IN_INTERVAL_MS = 50;
  // A target takes a confirmation that arrives later for none.
  private static final int CONFIRMATION_LIMIT_MS = 1_000;

  private static void killAndRestart(TestMachine[] mesh) {
    for (TestMachine machine : mesh) {
      machine.kill();
    }
    for (TestMachine machine : mesh) {
      machine.start();
    }
  }

  private void assertLateCheckInsBringNoRequests(TestMachine[] mesh, TestMachine departed)
      throws InterruptedException {
    int runs = departed.target.runs();
    for (int i = 0; i < LATE_CHECK_INS; i++) {
      departed.checkIn(false);
      status(mesh[0], "/views/" + i);
      Thread.sleep(CHECK_IN_INTERVAL_MS);
    }
    assertEquals(runs, departed.target.runs());
  }

  private void awaitRouteKnown(TestMachine machine) throws InterruptedException {
    awaitCondition("the state is known", () -> status(machine, "/none/1") == 404);
  }

  /** Guards against a departure that is forgotten when all nodes are killed after confirming it. */
  @Test
  void confirmedDeregistrationBindsAfterAllNodesWereKilled() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    assertTrue(mesh[1].deregister().get(WAIT.toSeconds(), TimeUnit.SECONDS));
    killAndRestart(mesh);
    mesh[1].checkIn(false);
    awaitRouteKnown(mesh[0]);
    assertLateCheckInsBringNoRequests(mesh, mesh[1]);
  }

  /** The same for a target that has reported that it drains, and is still to deregister. */
  @Test
  void confirmedDrainBindsAfterAllNodesWereKilled() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    assertTrue(mesh[1].checkIn(true).get(WAIT.toSeconds(), TimeUnit.SECONDS));
    killAndRestart(mesh);
    mesh[1].checkIn(false);
    awaitRouteKnown(mesh[0]);
    assertLateCheckInsBringNoRequests(mesh, mesh[1]);
  }

  /** Guards against a departure that a node without access to the store does not learn of. */
  @Test
  void nodeThatCannotReadTheStoreLearnsOfTheDepartureFromOthers() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    assertTrue(mesh[1].deregister().get(WAIT.toSeconds(), TimeUnit.SECONDS));
    mesh[0].kill();
    mesh[1].kill();
    mesh[0].start();
    awaitRouteKnown(mesh[0]);
    deployment.store.setFault(StoreFault.BUSY);
    mesh[1].start();
    assertLateCheckInsBringNoRequests(mesh, mesh[1]);
  }

  /**
   * Guards against a confirmation of what the store does not hold. The departure takes effect at
   * once all the same, and is confirmed when the store holds it.
   */
  @Test
  void departureIsConfirmedOnlyOnceItIsStored() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    deployment.store.setFault(StoreFault.BUSY);
    assertFalse(mesh[1].deregister().get(WAIT.toSeconds(), TimeUnit.SECONDS));
    assertEquals(503, status(mesh[0], "/views/1"));
    deployment.store.setFault(StoreFault.NONE);
    awaitCondition("confirmed", () -> mesh[1].deregister().join());
    killAndRestart(mesh);
    mesh[1].checkIn(false);
    awaitRouteKnown(mesh[0]);
    assertLateCheckInsBringNoRequests(mesh, mesh[1]);
  }

  /** Guards against a target that waits for its confirmation as the store does not answer. */
  @Test
  void departureIsRefusedInTimeWhileTheStoreIsSilent() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    deployment.store.setFault(StoreFault.SILENT);
    CompletableFuture<Boolean> confirmed = mesh[1].checkIn(true);
    assertFalse(confirmed.get(CONFIRMATION_LIMIT_MS, TimeUnit.MILLISECONDS));
  }

  /** Guards against a departure that is never confirmed as the answer to its write was lost. */
  @Test
  void departureIsConfirmedAfterTheAnswerOfTheStoreWasLost() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    deployment.store.setFault(StoreFault.LOST_WRITES);
    assertFalse(mesh[1].deregister().get(WAIT.toSeconds(), TimeUnit.SECONDS));
    deployment.store.setFault(StoreFault.NONE);
    awaitCondition("confirmed", () -> mesh[1].deregister().join());
  }

  /** Guards against a node that keeps a departed target's successor from its calls. */
  @Test
  void targetThatStartsAgainAfterItsDepartureServes() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    assertTrue(mesh[1].deregister().get(WAIT.toSeconds(), TimeUnit.SECONDS));
    killAndRestart(mesh);
    awaitRouteKnown(mesh[0]);
    mesh[1].target.startAgain();
    awaitCondition("the new lifetime serves", () -> checkInAndGet(mesh, mesh[0]) == 200);
  }
}
