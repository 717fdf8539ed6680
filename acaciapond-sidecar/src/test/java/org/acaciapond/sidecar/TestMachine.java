package org.acaciapond.sidecar;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.acaciapond.adapter.HttpMeshStore;
import org.acaciapond.adapter.JsonPlatformCodec;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.platform.SidecarSettings;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StandInTarget;

/** Test fixture: a target and its node on loopback; the node can be killed and restarted. */
public final class TestMachine {

  /** Address of all nodes and targets. */
  public static final String HOST = "127.0.0.1";

  private static final Duration WAIT = Duration.ofSeconds(20);

  /** Target beside the node. */
  public final StandInTarget target;

  /** Settings of the node. */
  public final SidecarSettings settings;

  private final Vertx targetVertx;
  private Vertx nodeVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private SidecarProcess process;
  private long sequence;

  /** Starts a target and its node. */
  public TestMachine(String key, String service, String targetId, StandInStore store) {
    targetVertx = Vertx.vertx();
    target = new StandInTarget(targetVertx, targetId, service, HOST, 0, TimeSource.system());
    target.start().await().atMost(WAIT);
    settings =
        new SidecarSettings(
            key,
            "z",
            service,
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            new SocketAddressSetting(HOST, target.port()),
            new SocketAddressSetting(HOST, store.port()),
            256,
            new SidecarSettings.Bounds(6_000, 0.2, 60, 10_000, 0.1, 50));
    start();
  }

  private static SocketAddressSetting freeAddress() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new SocketAddressSetting(HOST, socket.getLocalPort());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  void start() {
    EventLog log =
        new EventLog(
            settings.nodeKey(),
            new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8),
            TimeSource.system());
    CompletableFuture<Void> started = new CompletableFuture<>();
    Vertx vertx = nodeVertx;
    vertx.runOnContext(
        on -> {
          process =
              new SidecarProcess(
                  vertx,
                  settings,
                  new JsonPlatformCodec(1 << 20),
                  new HttpMeshStore(vertx, settings.store(), TimeSource.system()),
                  log,
                  TimeSource.system());
          process
              .start()
              .subscribe()
              .with(done -> started.complete(null), started::completeExceptionally);
        });
    started.orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
  }

  /**
   * Blocks the event loop of the node, as on a host without processor time; returns when it is
   * blocked.
   *
   * @param released completed by the test when the loop may continue
   */
  public void blockEventLoop(CompletableFuture<Void> released) {
    CompletableFuture<Void> blocked = new CompletableFuture<>();
    nodeVertx.runOnContext(
        on -> {
          blocked.complete(null);
          released.orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
        });
    blocked.orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
  }

  /** Stops the node abruptly, as SIGKILL does. */
  void kill() {
    nodeVertx.close().toCompletionStage().toCompletableFuture().join();
    nodeVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  }

  /** Stops the node gracefully, as the platform does. */
  CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    nodeVertx.runOnContext(on -> process.stop().subscribe().with(done -> stopped.complete(null)));
    return stopped;
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
  public void close() {
    nodeVertx.close().toCompletionStage().toCompletableFuture().join();
    targetVertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
