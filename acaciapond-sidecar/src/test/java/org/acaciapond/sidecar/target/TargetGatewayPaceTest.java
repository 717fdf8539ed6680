package org.acaciapond.sidecar.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that sends calls to its target against the decisions of the pace. */
class TargetGatewayPaceTest {

  private static final int WAIT_S = 30;
  private static final int LEFT_MS = 25_000;
  private static final int KNOWN_CALLS = 5;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private StubTarget target;

  @BeforeEach
  void start() throws IOException {
    target = new StubTarget();
  }

  @AfterEach
  void stop() throws IOException {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    target.close();
  }

  private <T> T onEventLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    vertx.runOnContext(on -> result.complete(action.get()));
    return result.get(WAIT_S, TimeUnit.SECONDS);
  }

  private CompletableFuture<MeshResponse> submit(TargetGateway gateway, String id)
      throws Exception {
    CompletableFuture<MeshResponse> response = new CompletableFuture<>();
    onEventLoop(() -> gateway.submit(GatewayFixture.call(id, LEFT_MS), response::complete));
    return response;
  }

  private static MeshResponse await(CompletableFuture<MeshResponse> response) throws Exception {
    return response.get(WAIT_S, TimeUnit.SECONDS);
  }

  @Test
  void callsToSilentTargetEndEarlyOrAreRefusedUntilItAnswers() throws Exception {
    TargetGateway gateway = onEventLoop(() -> GatewayFixture.startGateway(vertx, target.port()));
    for (int i = 0; i < KNOWN_CALLS; i++) {
      assertEquals(Outcome.ANSWERED, await(submit(gateway, "known-" + i)).outcome());
    }
    target.setAnswer(id -> "");
    CompletableFuture<MeshResponse> sent = submit(gateway, "sent");
    CompletableFuture<MeshResponse> queued = submit(gateway, "queued");
    MeshResponse refused = await(queued);
    assertEquals(Outcome.REFUSED, refused.outcome());
    assertEquals(Reason.UNREACHABLE, refused.reason());
    MeshResponse unanswered = await(sent);
    assertEquals(Outcome.UNKNOWN, unanswered.outcome());
    assertEquals(Reason.BROKEN, unanswered.reason());
    target.setAnswer(id -> StubTarget.response(id, 200));
    assertEquals(Outcome.ANSWERED, await(submit(gateway, "recovered")).outcome());
  }

  @Test
  void restartedNodeSendsNothingToColdTargetInItsFirstSecond() throws Exception {
    List<Long> arrivedNanos = new CopyOnWriteArrayList<>();
    target.setAnswer(
        id -> {
          arrivedNanos.add(System.nanoTime());
          return StubTarget.response(id, 200);
        });
    long startNanos = System.nanoTime();
    TargetGateway gateway = onEventLoop(() -> startColdGateway(() -> 12));
    assertEquals(Outcome.ANSWERED, await(submit(gateway, "first")).outcome());
    assertEquals(1, arrivedNanos.size());
    assertTrue(arrivedNanos.get(0) - startNanos >= TimeUnit.SECONDS.toNanos(1));
  }

  private TargetGateway startColdGateway(DoubleSupplier coldRequestsPerS) {
    EventLog log =
        new EventLog(
            "n1",
            new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8),
            TimeSource.system());
    TargetGateway gateway =
        GatewayFixture.newGateway(vertx, target.port(), coldRequestsPerS, log, new NodeMetrics());
    GatewayFixture.checkIn(gateway, 1, 20_000);
    gateway.startAdmission();
    return gateway;
  }
}
