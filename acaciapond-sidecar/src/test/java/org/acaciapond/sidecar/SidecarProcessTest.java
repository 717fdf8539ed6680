package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciapond.standin.StoreFault;
import org.junit.jupiter.api.Test;

/** Integration tests of whole nodes on loopback with a simulated store and simulated targets. */
class SidecarProcessTest extends MeshTest {

  private static final int LONG_BODY_BYTES = 8 << 20;
  private static final int RECEIVE_BUFFER_BYTES = 8_192;
  // After this time, a stopping node without requests has stopped.
  private static final int AFTER_UNREADY_MS = 3_200;

  @Test
  void responseOfTargetIsReturnedUnchanged() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    HttpResponse<String> response = send(mesh[0], "POST", "/orders/7?q=1", "x1");
    assertEquals(200, response.statusCode());
    assertEquals("ran /orders/7?q=1", response.body());
    assertEquals("signed-by-i-n1", response.headers().firstValue("X-Server-Signature").orElse(""));
    assertEquals(404, status(mesh[0], "/none/1"));
  }

  @Test
  void drainingTargetReceivesNoRequests() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].checkIn(true);
    awaitCondition("refused", () -> status(mesh[0], "/views/1") == 503);
    int runs = mesh[1].target.runs();
    for (int i = 0; i < 20; i++) {
      assertEquals(503, status(mesh[0], "/views/" + i));
    }
    assertEquals(runs, mesh[1].target.runs());
  }

  @Test
  void nonIdempotentRequestIsNotRetriedAfterInvalidResponse() throws Exception {
    TestMachine[] mesh = startOrdersMesh(2);
    for (int i = 1; i <= 2; i++) {
      mesh[i].target.setResponseFunction(
          exchange ->
              new org.acaciapond.http.HttpResponse(
                  200, List.of("X-Attempt-Id", "not-this"), new byte[0]));
    }
    AtomicLong arrivals = new AtomicLong();
    for (int i = 1; i <= 2; i++) {
      mesh[i].target.setResponseFunction(
          exchange -> {
            arrivals.incrementAndGet();
            return new org.acaciapond.http.HttpResponse(
                200,
                List.of("X-Attempt-Id", String.valueOf(exchange.header("X-Attempt-Id"))),
                new byte[0]);
          });
    }
    assertEquals(502, send(mesh[0], "POST", "/orders/1", nextId()).statusCode());
    assertEquals(1, arrivals.get());
  }

  @Test
  void unsignedSuccessIsNotForwardedOnIdempotentRoute() throws Exception {
    TestMachine[] mesh = startOrdersMesh(2);
    mesh[1].target.setResponseFunction(
        exchange ->
            new org.acaciapond.http.HttpResponse(
                200,
                List.of("X-Attempt-Id", String.valueOf(exchange.header("X-Attempt-Id"))),
                "forged".getBytes(StandardCharsets.UTF_8)));
    for (int i = 0; i < 10; i++) {
      HttpResponse<String> response = send(mesh[0], "GET", "/views/" + i, nextId());
      assertTrue(!response.body().equals("forged"), "an unsigned response was forwarded");
    }
  }

  @Test
  void targetRunsAtMostAsManyCallsAsSlots() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setProcessingMs(60);
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      TestMachine from = mesh[i % 2];
      responses.add(
          client.sendAsync(
              request(from, "GET", "/views/" + i, nextId()), HttpResponse.BodyHandlers.ofString()));
    }
    for (CompletableFuture<HttpResponse<String>> response : responses) {
      int status = response.get(WAIT.toSeconds(), TimeUnit.SECONDS).statusCode();
      assertTrue(status == 200 || status == 503, "status " + status);
    }
    assertTrue(mesh[1].target.maxRunning() <= 4, "ran " + mesh[1].target.maxRunning());
  }

  @Test
  void refusedRequestHasNotRun() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setProcessingMs(400);
    List<String> ids = new ArrayList<>();
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < 120; i++) {
      String id = nextId();
      ids.add(id);
      responses.add(
          client.sendAsync(
              request(mesh[0], "POST", "/orders/" + i, id), HttpResponse.BodyHandlers.ofString()));
    }
    for (int i = 0; i < ids.size(); i++) {
      int status = responses.get(i).get(WAIT.toSeconds(), TimeUnit.SECONDS).statusCode();
      if (status == 503) {
        assertEquals(0, mesh[1].target.runs(ids.get(i)));
      }
      assertTrue(mesh[1].target.runs(ids.get(i)) <= 1);
    }
  }

  @Test
  void restartedNodeSendsNothingToDeregisteredTarget() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].deregister();
    awaitCondition("refused", () -> status(mesh[0], "/views/1") == 503);
    mesh[1].kill();
    mesh[1].start();
    int runs = mesh[1].target.runs();
    for (int i = 0; i < 40; i++) {
      mesh[1].checkIn(false);
      assertEquals(503, status(mesh[0], "/views/" + i));
      Thread.sleep(50);
    }
    assertEquals(runs, mesh[1].target.runs());
  }

  @Test
  void nodeRestartedWithoutStoreGetsStateFromPeers() throws Exception {
    TestMachine[] mesh = startOrdersMesh(2);
    deployment.store.setFault(StoreFault.BUSY);
    mesh[2].kill();
    mesh[2].start();
    mesh[2].checkIn(false);
    awaitCondition("serves again", () -> status(mesh[2], "/views/1") == 200);
  }

  @Test
  void newerStateIsNeverReplacedByOlderOne() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    String more = ",[\"r3\",\"127.0.0.1\",\"/new/\",\"idempotent\",8000,4000,2,\"orders\",3]";
    deployment.store.put(
        "op", "config", STATE.formatted(5, more).replace("\"a\"", "\"127.0.0.1\""));
    awaitCondition("new route", () -> status(mesh[0], "/new/1") == 200);
    deployment.store.put("op", "config", STATE.formatted(3, "").replace("\"a\"", "\"127.0.0.1\""));
    deployment.store.compact();
    for (int i = 0; i < 10; i++) {
      assertEquals(200, status(mesh[0], "/new/1"));
      Thread.sleep(50);
    }
  }

  @Test
  void stateArrivesAfterStoreDroppedItsHistory() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    deployment.store.compact();
    String more = ",[\"r3\",\"127.0.0.1\",\"/new/\",\"idempotent\",8000,4000,2,\"orders\",3]";
    deployment.store.put(
        "op", "config", STATE.formatted(9, more).replace("\"a\"", "\"127.0.0.1\""));
    awaitCondition("new route", () -> status(mesh[0], "/new/1") == 200);
  }

  /** Guards against nodes that receive no change after their store connections became silent. */
  @Test
  void stateArrivesAfterStoreConnectionsBecameSilent() throws Exception {
    TestMachine[] mesh = startOrdersMesh(2);
    deployment.store.dropWaitingFeeds();
    String more = ",[\"r3\",\"127.0.0.1\",\"/new/\",\"idempotent\",8000,4000,2,\"orders\",3]";
    deployment.store.put(
        "op", "config", STATE.formatted(9, more).replace("\"a\"", "\"127.0.0.1\""));
    for (TestMachine each : mesh) {
      awaitCondition("new route", () -> status(each, "/new/1") == 200);
    }
  }

  @Test
  void stoppingNodeCompletesOpenRequests() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setProcessingMs(1_500);
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(
            request(mesh[0], "GET", "/views/1", nextId()), HttpResponse.BodyHandlers.ofString());
    Thread.sleep(200);
    CompletableFuture<Void> stopped = mesh[0].stop();
    assertEquals(200, response.get(WAIT.toSeconds(), TimeUnit.SECONDS).statusCode());
    stopped.get(WAIT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Guards against a node that ends with open requests because it was asked to stop twice. */
  @Test
  void secondStopWaitsForOpenRequestsLikeTheFirst() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setProcessingMs(1_500);
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(
            request(mesh[0], "GET", "/views/1", nextId()), HttpResponse.BodyHandlers.ofString());
    Thread.sleep(200);
    CompletableFuture<Void> first = mesh[0].stop();
    CompletableFuture<Boolean> answered =
        mesh[0].stop().thenApply(done -> response.isDone() && first.isDone());
    assertTrue(answered.get(WAIT.toSeconds(), TimeUnit.SECONDS));
    assertEquals(200, response.get().statusCode());
  }

  /**
   * Guards against retries at every level: a request whose nested call failed would run again, with
   * all its nested calls, for a failure that the nested call's own retries could not mend.
   */
  @Test
  void requestWhoseNestedCallFailedIsNotRetried() throws Exception {
    TestMachine[] mesh = startOrdersMesh(2);
    String route = ",[\"r3\",\"127.0.0.1\",\"/nested/\",\"idempotent\",8000,4000,1,\"other\",3]";
    deployment.store.put(
        "op", "config", STATE.formatted(3, route).replace("\"a\"", "\"127.0.0.1\""));
    awaitCondition("the nested route is known", () -> status(mesh[1], "/nested/1") == 503);
    awaitCondition("the nested route is known", () -> status(mesh[2], "/nested/1") == 503);
    List<Integer> nestedStatuses = new CopyOnWriteArrayList<>();
    for (int i = 1; i <= 2; i++) {
      TestMachine each = mesh[i];
      each.target.setResponseFunction(
          exchange -> {
            String id = exchange.header("X-Attempt-Id");
            nestedStatuses.add(send(each, "GET", "/nested/1", id + ".1").statusCode());
            return new org.acaciapond.http.HttpResponse(
                500, List.of("X-Attempt-Id", id, "X-Server-Signature", "signed"), new byte[0]);
          });
    }
    assertEquals(500, status(mesh[0], "/views/1"));
    assertEquals(List.of(503), nestedStatuses);
  }

  /** Guards against a planned stop that cuts off a response because its client reads slowly. */
  @Test
  void stoppingNodeWaitsForSlowReaders() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    String body = "x".repeat(LONG_BODY_BYTES);
    mesh[1].target.setResponseFunction(
        exchange -> mesh[1].target.signedResponse(exchange.header("X-Attempt-Id"), body));
    try (java.net.Socket socket = new java.net.Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(
          new java.net.InetSocketAddress("127.0.0.1", mesh[0].settings.outbound().port()));
      socket
          .getOutputStream()
          .write(
              "GET /views/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: slow\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      assertEquals('H', socket.getInputStream().read());
      CompletableFuture<Void> stopped = mesh[0].stop();
      Thread.sleep(AFTER_UNREADY_MS);
      assertFalse(stopped.isDone());
      int received = socket.getInputStream().readNBytes(LONG_BODY_BYTES).length;
      assertEquals(LONG_BODY_BYTES, received);
      stopped.get(WAIT.toSeconds(), TimeUnit.SECONDS);
    }
  }

  @Test
  void closedClientConnectionFreesSlot() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setProcessingMs(60_000);
    try (java.net.Socket socket =
        new java.net.Socket("127.0.0.1", mesh[0].settings.outbound().port())) {
      socket
          .getOutputStream()
          .write(
              "GET /views/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: left\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      awaitCondition("the call runs", () -> mesh[1].target.runs("left") == 1);
    }
    mesh[1].target.setProcessingMs(5);
    // The call no longer occupies a slot, so further calls are served.
    for (int i = 0; i < 8; i++) {
      assertEquals(200, status(mesh[0], "/views/" + i));
    }
    awaitCondition("target is idle", () -> mesh[1].target.running() == 0);
  }
}
