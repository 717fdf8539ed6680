package org.acaciapond.sidecar.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.junit.jupiter.api.Test;

/** Guards against calls that never reached the target and end as if they had perhaps run. */
class QueuedCallEndTest {

  private static final int WAIT_S = 20;
  private static final int LEFT_MS = 8_000;

  /** The target keeps its only slot, so that the second call ends in the queue. */
  @Test
  void queuedCallIsRefusedBeforeItsDeadline() throws Exception {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    ExecutorService threads = Executors.newCachedThreadPool();
    CountDownLatch released = new CountDownLatch(1);
    try (ScriptedTarget target =
        new ScriptedTarget(threads, (arrival, number, out) -> released.await())) {
      CompletableFuture<MeshResponse> end = new CompletableFuture<>();
      CompletableFuture<Boolean> expired = new CompletableFuture<>();
      vertx.runOnContext(
          on -> {
            TargetGateway gateway = GatewayFixture.startGateway(vertx, target.port());
            gateway.submit(GatewayFixture.call("first", LEFT_MS), response -> {});
            // Timers of the same event loop run in the order of their times.
            vertx.setTimer(400, id -> expired.complete(end.isDone()));
            gateway.submit(GatewayFixture.call("second", 400), end::complete);
          });
      assertTrue(expired.get(WAIT_S, TimeUnit.SECONDS), "refused at its deadline or later");
      assertEquals(Outcome.REFUSED, end.get(WAIT_S, TimeUnit.SECONDS).outcome());
      assertTrue(target.arrivals() <= 1);
    } finally {
      released.countDown();
      vertx.close().toCompletionStage().toCompletableFuture().join();
      threads.shutdownNow();
    }
  }
}
