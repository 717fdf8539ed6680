package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.acaciapond.standin.StoreFault;
import org.junit.jupiter.api.Test;

/** Tests the evacuation of failure domains with whole nodes. */
class EvacuationTest extends MeshTest {

  private static final String ORDER = "evacuate/";
  private static final int SLOTS = 4;

  private TestMachine caller;
  private TestMachine inA;
  private TestMachine inB;

  private void startMesh() throws InterruptedException {
    putStateWithLoopbackHost();
    caller = deployment.startMachine("caller", "a", "other");
    inA = deployment.startMachine("na", "a", "orders");
    inB = deployment.startMachine("nb", "b", "orders");
    awaitServed(caller);
    awaitServed(inA);
    awaitServed(inB);
  }

  private void checkIn() {
    inA.checkIn(false);
    inB.checkIn(false);
  }

  private void awaitServed(TestMachine from) throws InterruptedException {
    awaitCondition(
        from.settings.nodeKey() + " serves",
        () -> {
          checkIn();
          return status(from, "/views/1") == 200;
        });
  }

  // A caller prefers the targets of its own failure domain.
  private boolean isServedBy(TestMachine from, TestMachine by) {
    checkIn();
    int before = by.target.runs();
    return status(from, "/views/1") == 200 && by.target.runs() > before;
  }

  private String metrics(TestMachine machine) {
    String address = "http://127.0.0.1:" + machine.settings.metrics().port() + "/metrics";
    HttpRequest request = HttpRequest.newBuilder(URI.create(address)).build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(HttpResponse::body)
        .join();
  }

  private void order(String domain) {
    deployment.store.put("op", ORDER + domain, "{}");
  }

  private boolean hasEvacuated(TestMachine machine, int domains) {
    return metrics(machine).contains("acaciapond_evacuated_domains " + domains + ".0");
  }

  /** Guards against calls to an evacuated domain, and against targets unused after its end. */
  @Test
  void targetsOfEvacuatedDomainGetNoCallsUntilItEnds() throws Exception {
    startMesh();
    awaitCondition("served in the own domain", () -> isServedBy(caller, inA));

    order("a");
    for (TestMachine each : deployment.machines()) {
      awaitCondition("order is known", () -> hasEvacuated(each, 1));
    }
    for (TestMachine each : deployment.machines()) {
      awaitCondition("served in another domain", () -> isServedBy(each, inB));
    }
    final int runs = inA.target.runs();
    for (int i = 0; i < 10; i++) {
      assertEquals(200, status(caller, "/views/1"));
      assertEquals(200, status(inA, "/views/1"));
    }
    assertEquals(runs, inA.target.runs());

    deployment.store.remove("op", ORDER + "a");
    awaitCondition("served in the own domain again", () -> isServedBy(caller, inA));
  }

  /** Guards against calls that reach the target because they had queued before the order. */
  @Test
  void runningCallsEndAndQueuedOnesAreRefused() throws Exception {
    startOrdersMesh(1);
    TestMachine machine = deployment.machines().get(1);
    machine.target.setProcessingMs(2_000);
    final int runs = machine.target.runs();
    List<CompletableFuture<Integer>> statuses = new ArrayList<>();
    for (int i = 0; i < 2 * SLOTS; i++) {
      statuses.add(
          client
              .sendAsync(
                  request(machine, "POST", "/orders/1", nextId()),
                  HttpResponse.BodyHandlers.ofString())
              .thenApply(HttpResponse::statusCode));
    }
    awaitCondition("all slots are in use", () -> machine.target.runs() == runs + SLOTS);

    order("z");

    List<Integer> sorted = statuses.stream().map(CompletableFuture::join).sorted().toList();
    assertEquals(List.of(200, 200, 200, 200, 503, 503, 503, 503), sorted);
    assertEquals(runs + SLOTS, machine.target.runs());
  }

  /** Guards against a refusal without a time if all targets are evacuated. */
  @Test
  void requestIsRefusedIfAllTargetsAreEvacuated() throws Exception {
    startMesh();
    order("a");
    order("b");
    awaitCondition("orders are known", () -> hasEvacuated(caller, 2));

    HttpResponse<String> response = send(caller, "GET", "/views/1", nextId());

    assertEquals(503, response.statusCode());
    assertTrue(response.headers().firstValue("Retry-After").isPresent());
  }

  /** Guards against a restarted node that uses an evacuated domain while the store is away. */
  @Test
  void restartedNodeLearnsTheOrderFromPeers() throws Exception {
    startMesh();
    order("a");
    for (TestMachine each : deployment.machines()) {
      awaitCondition("order is known", () -> hasEvacuated(each, 1));
    }

    deployment.store.setFault(StoreFault.SILENT);
    final int runs = inA.target.runs();
    caller.kill();
    caller.start();
    awaitServed(caller);

    assertTrue(hasEvacuated(caller, 1));
    assertEquals(runs, inA.target.runs());
  }
}
