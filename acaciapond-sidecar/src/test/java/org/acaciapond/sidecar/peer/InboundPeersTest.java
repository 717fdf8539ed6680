package org.acaciapond.sidecar.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.sidecar.TestDeployment;
import org.acaciapond.sidecar.TestMachine;
import org.acaciapond.sidecar.soak.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class InboundPeersTest {

  private static final int WAIT_MS = 20_000;
  private static final int DELAY_MS = 1_500;
  private static final int CALL_LEFT_MS = 400;
  private static final int CLOCK_STEP_MS = 3_000;
  private static final int START_TRIES = 100;
  // After some seconds, a node accepts the changed clock also without a hello.
  private static final int TRIES_WITHIN_WINDOW = 20;

  private final TestDeployment deployment = new TestDeployment();
  private final TestMachine machine = deployment.startMachine("n1", "orders");

  @BeforeEach
  void checkIn() {
    machine.checkIn(false);
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  // Connects a peer and returns it when the node has answered one of its calls.
  private TestPeer connectPeer(int port) throws InterruptedException {
    TestPeer peer = new TestPeer(deployment.vertx);
    peer.connect(port);
    peer.send(hello(0));
    assertTrue(isAnswered(peer, START_TRIES, 0));
    return peer;
  }

  private static PeerMessage.Hello hello(int clockBehindMs) {
    NodeRecord self = new NodeRecord("caller", TestMachine.HOST, 1, "z", "other", 1);
    return new PeerMessage.Hello(
        self, -1, false, nowMs() - clockBehindMs, false, false, false, null);
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private static PeerMessage.Call call(long number, String id) {
    return call(number, id, nowMs());
  }

  private static PeerMessage.Call call(long number, String id, long sentMs) {
    MeshCall call =
        new MeshCall(
            id,
            "GET",
            "/views/1",
            List.of("Host", "a"),
            new byte[0],
            CALL_LEFT_MS,
            CALL_LEFT_MS,
            1,
            "r1",
            "other",
            "i-n1",
            true,
            false,
            "");
    return new PeerMessage.Call(number, call, sentMs);
  }

  private static Outcome await(TestPeer peer) throws InterruptedException {
    PeerMessage.Response response = peer.await(PeerMessage.Response.class, WAIT_MS);
    assertNotNull(response);
    return response.response().outcome();
  }

  // A call may be refused while the node starts, or if this host is busy.
  private static boolean isAnswered(TestPeer peer, int tries, int clockBehindMs)
      throws InterruptedException {
    for (int i = 0; i < tries; i++) {
      Thread.sleep(100);
      peer.send(call(i, "try-" + i, nowMs() - clockBehindMs));
      if (await(peer) == Outcome.ANSWERED) {
        return true;
      }
    }
    return false;
  }

  /** Guards against calls that run for callers that left while the call was on its way. */
  @Test
  void callWhoseTimePassedOnTheWayIsNotRun() throws Exception {
    FaultProxy proxy = new FaultProxy(deployment.vertx, machine.settings.peer().port(), DELAY_MS);
    TestPeer peer = connectPeer(proxy.start());

    proxy.setMode(FaultProxy.Mode.DELAY);
    peer.send(call(1_000, "late"));

    assertEquals(Outcome.REFUSED, await(peer));
    assertEquals(0, machine.target.runs("late"));
  }

  /** Guards against calls that run although their cancellation has already arrived. */
  @Test
  void callThatArrivedWithItsCancellationIsNotRun() throws Exception {
    TestPeer peer = connectPeer(machine.settings.peer().port());

    CompletableFuture<Void> released = new CompletableFuture<>();
    machine.blockEventLoop(released);
    peer.send(call(1_000, "cancelled"));
    peer.send(new PeerMessage.Cancel(1_000));
    released.complete(null);

    assertTrue(isAnswered(peer, START_TRIES, 0));
    assertEquals(0, machine.target.runs("cancelled"));
  }

  private static PeerMessage.CallOffer offer(long number, String id, int bodyBytes) {
    return new PeerMessage.CallOffer(number, call(number, id).call(), bodyBytes, nowMs());
  }

  // Sends the requested bytes of a body until all of them were requested.
  private static void sendBody(TestPeer peer, long number, int bytes) throws InterruptedException {
    int left = bytes;
    while (left > 0) {
      PeerMessage.BodyCredit credit = peer.await(PeerMessage.BodyCredit.class, WAIT_MS);
      assertNotNull(credit);
      if (credit.callNumber() == number && credit.bytes() > 0) {
        peer.send(new PeerMessage.BodyPart(number, new byte[credit.bytes()]));
        left -= credit.bytes();
      }
    }
  }

  /** Guards against bodies that are sent for nothing, or in part, and still run. */
  @Test
  void offeredCallRunsWhenItsBodyIsComplete() throws Exception {
    TestPeer peer = connectPeer(machine.settings.peer().port());

    peer.send(offer(1_000, "cancelled", 60_000));
    assertNotNull(peer.await(PeerMessage.BodyCredit.class, WAIT_MS));
    peer.send(new PeerMessage.Cancel(1_000));
    peer.send(offer(1_001, "complete", 60_000));
    sendBody(peer, 1_001, 60_000);

    assertEquals(Outcome.ANSWERED, await(peer));
    assertEquals(1, machine.target.runs("complete"));
    assertEquals(0, machine.target.runs("cancelled"));
  }

  /** Guards against an offered call without a body that runs before its caller says so. */
  @Test
  void offeredCallWithoutBodyRunsWhenItsCallerConfirmsIt() throws Exception {
    TestPeer peer = connectPeer(machine.settings.peer().port());

    peer.send(offer(1_000, "left", 0));
    assertNotNull(peer.await(PeerMessage.BodyCredit.class, WAIT_MS));
    peer.send(offer(1_001, "confirmed", 0));
    assertNotNull(peer.await(PeerMessage.BodyCredit.class, WAIT_MS));
    peer.send(new PeerMessage.BodyPart(1_001, new byte[0]));

    assertEquals(Outcome.ANSWERED, await(peer));
    assertEquals(0, machine.target.runs("left"));
  }

  /** Guards against refusing all calls of a host whose clock stood still while it was suspended. */
  @Test
  void helloAfterClockStepMakesLaterCallsCountAsOnTime() throws Exception {
    TestPeer peer = connectPeer(machine.settings.peer().port());

    peer.send(call(1_000, "stepped", nowMs() - CLOCK_STEP_MS));
    assertEquals(Outcome.REFUSED, await(peer));
    peer.send(hello(CLOCK_STEP_MS));
    assertTrue(isAnswered(peer, TRIES_WITHIN_WINDOW, CLOCK_STEP_MS));
  }
}
