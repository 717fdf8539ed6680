package org.acaciapond.sidecar;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StandInTarget;

/** Test fixture: a simulated target and its node on loopback. */
public final class TestMachine extends TestNode {

  /** Target beside the node. */
  public final StandInTarget target;

  private final Vertx targetVertx;
  private long sequence;

  /** Starts a target and its node. */
  public TestMachine(String key, String service, String targetId, StandInStore store) {
    this(key, "z", service, targetId, store);
  }

  TestMachine(String key, String domain, String service, String targetId, StandInStore store) {
    this(key, domain, service, targetId, store, Vertx.vertx());
  }

  private TestMachine(
      String key,
      String domain,
      String service,
      String targetId,
      StandInStore store,
      Vertx targetVertx) {
    this(key, domain, service, startTarget(targetVertx, targetId, service), store, targetVertx);
  }

  /** Starts the node of a target that is started already. */
  public TestMachine(
      String key, String service, StandInTarget target, StandInStore store, Vertx targetVertx) {
    this(key, "z", service, target, store, targetVertx);
  }

  private TestMachine(
      String key,
      String domain,
      String service,
      StandInTarget target,
      StandInStore store,
      Vertx targetVertx) {
    super(key, domain, service, target.port(), store.port());
    this.target = target;
    this.targetVertx = targetVertx;
  }

  private static StandInTarget startTarget(Vertx vertx, String targetId, String service) {
    StandInTarget target =
        new StandInTarget(vertx, targetId, service, HOST, 0, TimeSource.system());
    target.start().await().atMost(WAIT);
    return target;
  }

  /** Sends a check-in of the target to the node; returns whether the node confirms it. */
  public CompletableFuture<Boolean> checkIn(boolean draining) {
    sequence++;
    return target.checkIn(HOST, settings.control().port(), "v1", 4, draining, sequence);
  }

  /** Deregisters the target at the node; returns whether the node confirms it. */
  CompletableFuture<Boolean> deregister() {
    return target.deregister(HOST, settings.control().port());
  }

  /** Stops the node and the target. */
  @Override
  public void close() {
    super.close();
    targetVertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
