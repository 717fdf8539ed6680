package org.acaciapond.sidecar.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.acaciapond.adapter.HttpMeshStore;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.platform.SocketAddressSetting;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of the departures in the row of a node. */
class NodeRegistryTest {

  private static final String HOST = "127.0.0.1";
  private static final Duration WAIT = Duration.ofSeconds(20);
  private static final int FAULT_MS = 500;
  private static final TargetDeparture DEPARTURE = new TargetDeparture("i-1", 100, 5_000);
  private static final TargetDeparture LATER_DEPARTURE = new TargetDeparture("i-2", 200, 6_000);

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInStore store = new StandInStore(vertx, HOST, 0, TimeSource.system());

  NodeRegistryTest() {
    store.start().await().atMost(WAIT);
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Registry of one process of the node "n1". */
  private final class Process {
    final BlockingQueue<TargetDeparture> restored = new LinkedBlockingQueue<>();
    final CompletableFuture<Void> tableRead = new CompletableFuture<>();
    private final NodeRegistry registry;

    Process(int port) {
      EventLog log =
          new EventLog(
              "n1",
              new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8),
              TimeSource.system());
      registry =
          new NodeRegistry(
              vertx,
              new HttpMeshStore(
                  vertx, new SocketAddressSetting(HOST, store.port()), TimeSource.system()),
              new NodeRecord("n1", HOST, port, "z", "s", 1),
              node -> {},
              restored::add,
              () -> tableRead.complete(null),
              log,
              new NodeMetrics(),
              () -> 0.5);
      vertx.runOnContext(on -> registry.start());
      tableRead.orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
    }

    CompletableFuture<Void> record(TargetDeparture departure) {
      CompletableFuture<Void> stored = new CompletableFuture<>();
      vertx.runOnContext(
          on ->
              registry.recordDeparture(departure).subscribe().with(done -> stored.complete(null)));
      return stored;
    }

    void recordAndWait(TargetDeparture departure) {
      record(departure).orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
    }

    TargetDeparture nextRestored() throws InterruptedException {
      return restored.poll(WAIT.toSeconds(), TimeUnit.SECONDS);
    }
  }

  @Test
  void departureIsKnownToTheNextProcess() throws InterruptedException {
    new Process(7_380).recordAndWait(DEPARTURE);
    assertEquals(DEPARTURE, new Process(7_380).nextRestored());
  }

  /** Guards against a node that removes the departure when it registers another address. */
  @Test
  void departureOutlivesAnotherRegistration() throws InterruptedException {
    new Process(7_380).recordAndWait(DEPARTURE);
    Process moved = new Process(7_381);
    assertEquals(DEPARTURE, moved.nextRestored());
    moved.recordAndWait(LATER_DEPARTURE);
    assertEquals(LATER_DEPARTURE, new Process(7_381).nextRestored());
  }

  /** Guards against a departure that is lost because another writer changed the row meanwhile. */
  @Test
  void departureIsStoredAfterConflict() throws InterruptedException {
    Process process = new Process(7_380);
    process.recordAndWait(DEPARTURE);
    store.put("nodes", "n1", "not a row");
    process.recordAndWait(LATER_DEPARTURE);
    assertEquals(LATER_DEPARTURE, new Process(7_380).nextRestored());
  }

  /**
   * Guards against departures that are reported as stored, or never, after a fault of the store.
   */
  @ParameterizedTest
  @EnumSource(
      value = StoreFault.class,
      names = {"BUSY", "TOO_MANY", "SILENT", "LOST_WRITES"})
  void departureIsReportedOnceTheStoreConfirmsIt(StoreFault fault) throws InterruptedException {
    Process process = new Process(7_380);
    process.recordAndWait(DEPARTURE);
    store.setFault(fault);
    CompletableFuture<Void> stored = process.record(LATER_DEPARTURE);
    assertThrows(
        TimeoutException.class, () -> stored.get(FAULT_MS, TimeUnit.MILLISECONDS), fault::name);
    store.setFault(StoreFault.NONE);
    stored.orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS).join();
    assertEquals(LATER_DEPARTURE, new Process(7_380).nextRestored());
  }

  /** Guards against a confirmed departure that is lost with the writes of an era of the store. */
  @Test
  void departureThatTheStoreLostIsWrittenAgain() throws Exception {
    Process process = new Process(7_380);
    process.recordAndWait(DEPARTURE);
    store.takeCopy();
    process.recordAndWait(LATER_DEPARTURE);
    final int writes = store.writes();

    store.restoreCopy();
    vertx.runOnContext(on -> process.registry.onEraChanged(2));

    long endNanos = System.nanoTime() + WAIT.toNanos();
    while (store.writes() == writes) {
      assertTrue(System.nanoTime() < endNanos, "nothing was written again");
      Thread.sleep(20);
    }
    assertEquals(LATER_DEPARTURE, new Process(7_380).nextRestored());
  }

  /** Guards against a write for each of the check-ins that a draining target sends. */
  @Test
  void storedDepartureIsNotWrittenAgain() {
    Process process = new Process(7_380);
    process.recordAndWait(DEPARTURE);
    int writes = store.writes();
    process.recordAndWait(new TargetDeparture("i-1", 100, 9_000));
    assertEquals(writes, store.writes());
  }
}
