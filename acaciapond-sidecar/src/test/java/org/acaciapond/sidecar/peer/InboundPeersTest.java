package org.acaciapond.sidecar.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.time.Duration;
import java.util.List;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.sidecar.TestMachine;
import org.acaciapond.sidecar.soak.FaultProxy;
import org.acaciapond.standin.StandInStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class InboundPeersTest {

  private static final int WAIT_MS = 20_000;
  private static final int DELAY_MS = 1_500;
  private static final int CALL_LEFT_MS = 400;
  private static final int BLOCKED_MS = 200;
  private static final int CLOCK_STEP_MS = 3_000;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private StandInStore store;
  private TestMachine machine;

  @BeforeEach
  void start() {
    store = new StandInStore(vertx, TestMachine.HOST, 0, TimeSource.system());
    store.start().await().atMost(Duration.ofMillis(WAIT_MS));
    machine = new TestMachine("n1", "orders", "i-n1", store);
    machine.checkIn(false);
  }

  @AfterEach
  void stop() {
    machine.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static PeerMessage.Call call(long number, String id) {
    return call(number, id, System.nanoTime() / 1_000_000);
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
            false);
    return new PeerMessage.Call(number, call, sentMs);
  }

  private static Outcome callUntilAnswered(TestPeer peer) throws InterruptedException {
    Outcome outcome = Outcome.REFUSED;
    for (int i = 0; i < 100 && outcome != Outcome.ANSWERED; i++) {
      Thread.sleep(100);
      peer.send(call(i, "early-" + i));
      PeerMessage.Response response = peer.await(PeerMessage.Response.class, WAIT_MS);
      assertNotNull(response);
      outcome = response.response().outcome();
    }
    return outcome;
  }

  /** Guards against calls that run for callers that left while the call was on its way. */
  @Test
  void callWhoseTimePassedOnTheWayIsNotRun() throws Exception {
    FaultProxy proxy = new FaultProxy(vertx, machine.settings.peer().port(), DELAY_MS);
    TestPeer peer = new TestPeer(vertx);
    peer.connect(proxy.start());
    NodeRecord self = new NodeRecord("caller", TestMachine.HOST, 1, "z", "other", 1);
    peer.send(new PeerMessage.Hello(self, -1, false, System.nanoTime() / 1_000_000));
    assertEquals(Outcome.ANSWERED, callUntilAnswered(peer));

    proxy.setMode(FaultProxy.Mode.DELAY);
    peer.send(call(1_000, "late"));
    PeerMessage.Response response = peer.await(PeerMessage.Response.class, WAIT_MS);

    assertNotNull(response);
    assertEquals(Outcome.REFUSED, response.response().outcome());
    assertEquals(0, machine.target.runs("late"));
  }

  /** Guards against calls that run although their cancellation has already arrived. */
  @Test
  void callThatArrivedWithItsCancellationIsNotRun() throws Exception {
    TestPeer peer = new TestPeer(vertx);
    peer.connect(machine.settings.peer().port());
    NodeRecord self = new NodeRecord("caller", TestMachine.HOST, 1, "z", "other", 1);
    peer.send(new PeerMessage.Hello(self, -1, false, System.nanoTime() / 1_000_000));
    assertEquals(Outcome.ANSWERED, callUntilAnswered(peer));

    machine.blockEventLoop(BLOCKED_MS);
    peer.send(call(1_000, "cancelled"));
    peer.send(new PeerMessage.Cancel(1_000));
    Thread.sleep(2 * BLOCKED_MS);

    assertEquals(Outcome.ANSWERED, callUntilAnswered(peer));
    assertEquals(0, machine.target.runs("cancelled"));
  }

  /** Guards against refusing all calls of a host whose clock stood still while it was suspended. */
  @Test
  void greetingAfterClockStepMakesLaterCallsCountAsOnTime() throws Exception {
    TestPeer peer = new TestPeer(vertx);
    peer.connect(machine.settings.peer().port());
    NodeRecord self = new NodeRecord("caller", TestMachine.HOST, 1, "z", "other", 1);
    peer.send(new PeerMessage.Hello(self, -1, false, System.nanoTime() / 1_000_000));
    assertEquals(Outcome.ANSWERED, callUntilAnswered(peer));

    peer.send(call(1_000, "stepped", System.nanoTime() / 1_000_000 - CLOCK_STEP_MS));
    assertEquals(
        Outcome.REFUSED, peer.await(PeerMessage.Response.class, WAIT_MS).response().outcome());
    long steppedMs = System.nanoTime() / 1_000_000 - CLOCK_STEP_MS;
    peer.send(new PeerMessage.Hello(self, -1, false, steppedMs));
    peer.send(call(1_001, "after", System.nanoTime() / 1_000_000 - CLOCK_STEP_MS));
    assertEquals(
        Outcome.ANSWERED, peer.await(PeerMessage.Response.class, WAIT_MS).response().outcome());
  }
}
