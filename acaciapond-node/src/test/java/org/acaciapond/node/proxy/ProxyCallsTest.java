package org.acaciapond.node.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.routing.call.CallOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests calls through the outbound and inbound proxies, with faults of targets and connections. */
class ProxyCallsTest {

  private static final Buffer NO_BODY = Buffer.buffer();
  private final ProxyFixture mesh = new ProxyFixture();
  private final AtomicInteger runs = new AtomicInteger();

  @AfterEach
  void close() {
    mesh.close();
  }

  private void echo(HttpServerRequest request) {
    runs.incrementAndGet();
    request.body().onSuccess(body -> request.response().end(body));
  }

  private void respond(HttpServerRequest request) {
    runs.incrementAndGet();
    request.response().end("ok");
  }

  private void loseConnection(HttpServerRequest request) {
    runs.incrementAndGet();
    request.connection().close();
  }

  private int freePort() {
    var server = ProxyFixture.await(mesh.vertx.createNetServer().connectHandler(s -> {}).listen(0));
    int port = server.actualPort();
    ProxyFixture.await(server.close());
    return port;
  }

  private static void assertOutcome(String expected, int status, ProxyFixture.Response response) {
    assertEquals(status, response.status(), () -> response.body().toString());
    assertEquals(expected, response.headers().get(MeshHeaders.OUTCOME));
  }

  /** I5: bodies larger than every buffer arrive complete and unchanged in both directions. */
  @Test
  void largeBodiesAreStreamedUnchanged() {
    mesh.addTarget(this::echo);
    byte[] bytes = new byte[3 * 1024 * 1024];
    new Random(3).nextBytes(bytes);
    ProxyFixture.Response response = mesh.call(HttpMethod.POST, "/once", Buffer.buffer(bytes));
    assertEquals(200, response.status());
    assertEquals(Buffer.buffer(bytes), response.body());
  }

  /** I5: responses that arrive out of order must reach their own callers. */
  @Test
  void concurrentCallsReceiveTheirOwnResponses() {
    mesh.addTarget(
        request ->
            mesh.vertx.setTimer(
                1 + Math.floorMod(request.uri().hashCode(), 30),
                id -> request.response().end(request.uri())));
    List<Future<ProxyFixture.Response>> responses = new ArrayList<>();
    for (int round = 0; round < 10; round++) {
      List<Future<ProxyFixture.Response>> batch = new ArrayList<>();
      for (int i = 0; i < 16; i++) {
        String path = "/safe/" + round + "/" + i;
        batch.add(mesh.send(mesh.outbound.port(), "back", HttpMethod.GET, path, NO_BODY));
      }
      ProxyFixture.await(Future.all(batch));
      responses.addAll(batch);
    }
    for (int i = 0; i < responses.size(); i++) {
      assertEquals("/safe/" + i / 16 + "/" + i % 16, responses.get(i).result().body().toString());
    }
  }

  /** I7: a call that is not idempotent must not run again after its connection was lost. */
  @Test
  void lostNonIdempotentCallIsUnknownAndRunsOnce() {
    mesh.addTarget(this::loseConnection);
    mesh.addTarget(this::loseConnection);
    assertOutcome("unknown", 502, mesh.call(HttpMethod.POST, "/once", Buffer.buffer("x")));
    assertEquals(1, runs.get());
  }

  /** Guards against an idempotent call that is not retried, or retried without its body. */
  @Test
  void lostIdempotentCallIsRetriedOnceWithItsBody() {
    mesh.addTarget(this::loseConnection);
    mesh.addTarget(this::loseConnection);
    assertOutcome("unknown", 502, mesh.call(HttpMethod.PUT, "/safe", Buffer.buffer("x")));
    assertEquals(2, runs.get());
    assertEquals(1, mesh.counters.retries());
  }

  /** I6: a call that never reached a target may be sent to another, even if not idempotent. */
  @Test
  void unreachableTargetIsNotRunAndAnotherTargetServes() {
    mesh.addNode(freePort());
    mesh.addEndpoint(freePort());
    assertOutcome("not-run", 503, mesh.call(HttpMethod.POST, "/once", Buffer.buffer("x")));
    mesh.endpoints.clear();
    mesh.addNode(freePort());
    mesh.addTarget(this::echo);
    for (int i = 0; i < 20; i++) {
      assertEquals("x", mesh.call(HttpMethod.POST, "/once", Buffer.buffer("x")).body().toString());
    }
    assertEquals(20, runs.get());
  }

  /** Otherwise the attempts would multiply with the depth of the call chain. */
  @Test
  void retriesAndDownstreamRefusalsAreNotRetried() {
    mesh.addNode(freePort());
    mesh.call(HttpMethod.GET, "/safe", NO_BODY, MeshHeaders.RETRY, "1");
    assertEquals(0, mesh.counters.retries());
    mesh.endpoints.clear();
    mesh.addTarget(
        request -> {
          runs.incrementAndGet();
          request.response().setStatusCode(503).putHeader(MeshHeaders.OUTCOME, "not-run").end();
        });
    ProxyFixture.Response response = mesh.call(HttpMethod.GET, "/safe", NO_BODY);
    assertNull(response.headers().get(MeshHeaders.OUTCOME), "the target of this hop ran the call");
    assertEquals("not-run", response.headers().get(MeshHeaders.DOWNSTREAM_OUTCOME));
    assertEquals(1, runs.get());
  }

  /** Guards against a deadline that starts anew at a hop, and a timeout reported as not run. */
  @Test
  void elapsedTimeIsSubtractedAndTimeoutIsUnknown() throws Exception {
    CompletableFuture<Long> seen = new CompletableFuture<>();
    mesh.addTarget(
        request -> seen.complete(Long.parseLong(request.getHeader(MeshHeaders.DEADLINE_MS))));
    assertOutcome("unknown", 504, mesh.call(HttpMethod.POST, "/quick", Buffer.buffer("x")));
    assertTrue(seen.get(1, TimeUnit.SECONDS) < 300);
    assertOutcome(
        "not-run",
        504,
        mesh.call(HttpMethod.POST, "/quick", Buffer.buffer("x"), MeshHeaders.DEADLINE_MS, "0"));
    assertEquals(
        List.of(CallOutcome.TIMEOUT), mesh.records.stream().map(r -> r.outcome()).toList());
  }

  /** Work for a disconnected caller would occupy slots that waiting callers need. */
  @Test
  @Timeout(30)
  void cancellationReachesTheTarget() throws Exception {
    CompletableFuture<Void> arrived = new CompletableFuture<>();
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    mesh.addTarget(
        request -> {
          request.connection().closeHandler(ignored -> cancelled.complete(null));
          arrived.complete(null);
        });
    NetSocket caller =
        ProxyFixture.await(mesh.vertx.createNetClient().connect(mesh.outbound.port(), "127.0.0.1"));
    caller.write("GET /safe HTTP/1.1\r\nHost: back\r\n\r\n");
    arrived.get(10, TimeUnit.SECONDS);
    caller.close();
    cancelled.get(5, TimeUnit.SECONDS);
    while (mesh.inbounds.get(0).admission().inFlight() > 0) {
      // The slot is freed after the connection to the target is closed; it must not leak.
      Thread.onSpinWait();
    }
  }

  /** Guards against a malformed request that affects the calls on other connections. */
  @Test
  void malformedRequestClosesItsOwnConnectionOnly() throws Exception {
    mesh.addTarget(this::respond);
    NetSocket malformedClient =
        ProxyFixture.await(mesh.vertx.createNetClient().connect(mesh.outbound.port(), "127.0.0.1"));
    CompletableFuture<Void> closed = new CompletableFuture<>();
    malformedClient.closeHandler(ignored -> closed.complete(null));
    malformedClient.write("GET /safe HTTP/1.1\r\nHost: back\r\nno colon here\r\n\r\n");
    closed.get(10, TimeUnit.SECONDS);
    assertEquals(1, mesh.counters.malformedRequests());
    assertEquals(200, mesh.call(HttpMethod.GET, "/safe", NO_BODY).status());
  }

  /** Guards against calls that the configuration does not permit. */
  @Test
  void bothProxiesEnforceReachability() {
    int inbound = mesh.addTarget(this::respond);
    assertOutcome(
        "not-run",
        403,
        ProxyFixture.await(
            mesh.send(mesh.outbound.port(), "stranger", HttpMethod.GET, "/safe", NO_BODY)));
    assertOutcome(
        "not-run",
        403,
        ProxyFixture.await(
            mesh.send(
                inbound,
                "back",
                HttpMethod.GET,
                "/safe",
                NO_BODY,
                MeshHeaders.CALLER,
                "stranger")));
    assertOutcome(
        "not-run",
        403,
        ProxyFixture.await(mesh.send(inbound, "back", HttpMethod.GET, "/safe", NO_BODY)));
    assertEquals(0, runs.get());
  }

  /** Guards against a call that runs although its body is larger than the limit. */
  @Test
  void bodyBeyondTheLimitIsRefused() {
    mesh.addTarget(this::echo);
    Buffer tooLarge = Buffer.buffer(new byte[ProxyFixture.MAX_BODY_BYTES + 1]);
    assertOutcome("not-run", 413, mesh.call(HttpMethod.POST, "/once", tooLarge));
    assertEquals(0, runs.get());
  }

  /** Calls on an open but unresponsive connection would otherwise hang until their deadline. */
  @Test
  void unresponsiveConnectionIsReplacedAndItsCallsFollowTheRetryRules() {
    try (ProxyFixture single = new ProxyFixture(1)) {
      checkUnresponsiveConnections(single);
    }
  }

  private void checkUnresponsiveConnections(ProxyFixture mesh) {
    int node = mesh.addTarget(this::respond);
    mesh.endpoints.clear();
    ProxyFixture.Relay relay = mesh.relay(node);
    mesh.addEndpoint(relay.port);
    mesh.addEndpoint(relay.port);
    assertEquals(200, mesh.call(HttpMethod.GET, "/safe", NO_BODY).status());
    relay.silenceConnections();
    ProxyFixture.Response safe = mesh.call(HttpMethod.GET, "/safe", NO_BODY);
    assertEquals(200, safe.status(), () -> safe.body().toString());
    assertTrue(mesh.counters.silentConnections() >= 1);
    relay.silenceConnections();
    assertOutcome("unknown", 502, mesh.call(HttpMethod.POST, "/once", Buffer.buffer("x")));
  }

  /** I9: a graceful stop lets the calls in flight end and refuses later ones as not run. */
  @Test
  void stopInterruptsNoCallInFlight() {
    List<HttpServerRequest> pendingRequests = new java.util.concurrent.CopyOnWriteArrayList<>();
    CompletableFuture<Void> allArrived = new CompletableFuture<>();
    int inbound =
        mesh.addTarget(
            request -> {
              pendingRequests.add(request);
              if (pendingRequests.size() == 8) {
                allArrived.complete(null);
              }
            });
    List<Future<ProxyFixture.Response>> responses = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      responses.add(mesh.send(mesh.outbound.port(), "back", HttpMethod.GET, "/safe", NO_BODY));
    }
    allArrived.join();
    CompletableFuture<Void> stopped =
        mesh.inbounds.get(0).stop().subscribeAsCompletionStage().toCompletableFuture();
    ProxyFixture.Response late;
    do {
      late =
          ProxyFixture.await(
              mesh.send(
                  inbound,
                  "back",
                  HttpMethod.GET,
                  "/safe",
                  NO_BODY,
                  MeshHeaders.CALLER,
                  "front",
                  MeshHeaders.DEADLINE_MS,
                  "50"));
    } while (late.status() == 504);
    assertOutcome("not-run", 503, late);
    assertTrue(!stopped.isDone(), "closed with calls in flight");
    pendingRequests.forEach(request -> request.response().end("whole"));
    for (Future<ProxyFixture.Response> response : responses) {
      assertEquals("whole", ProxyFixture.await(response).body().toString());
    }
    stopped.join();
  }

  /** Guards against new calls to a target that has announced that it leaves. */
  @Test
  void leavingTargetReceivesNoNewCalls() {
    mesh.addTarget(this::respond);
    LocalTarget target = mesh.targets.get(0);
    LocalTarget.Announcement known = target.announcement();
    assertEquals(200, mesh.call(HttpMethod.GET, "/safe", NO_BODY).status());
    target.announce(new LocalTarget.Announcement("v1", known.port(), 1, true));
    ProxyFixture.Response response;
    do {
      response = mesh.call(HttpMethod.GET, "/safe", NO_BODY);
    } while (response.status() == 200);
    assertOutcome("not-run", 503, response);
  }

  /**
   * A connection that is accepted but never completes its HTTP/2 handshake must be replaced: the
   * pool holds one connection per node, so all later calls to the node would wait for it.
   */
  @Test
  void connectionWithoutHandshakeIsReplaced() {
    ProxyFixture.Relay relay = mesh.relay(mesh.addTarget(this::respond));
    mesh.endpoints.clear();
    mesh.addEndpoint(relay.port);
    mesh.addEndpoint(relay.port);
    relay.blockNewConnections(true);
    assertOutcome(MeshHeaders.OUTCOME_NOT_RUN, 504, mesh.call(HttpMethod.GET, "/quick", NO_BODY));
    relay.blockNewConnections(false);
    ProxyFixture.Response response = mesh.call(HttpMethod.GET, "/safe", NO_BODY);
    assertEquals(200, response.status(), () -> response.body().toString());
  }

  /**
   * Calls whose deadline passes while they wait for a connection must release their streams.
   * Otherwise a slow connection start under load exhausts the streams of the connection.
   */
  @Test
  void callsThatExpireWaitingForAConnectionReleaseTheirStreams() {
    try (ProxyFixture single = new ProxyFixture(1)) {
      ProxyFixture.Relay relay = single.relay(single.addTarget(this::respond));
      single.endpoints.clear();
      single.addEndpoint(relay.port);
      relay.delayMs(900);
      List<Future<ProxyFixture.Response>> late = new ArrayList<>();
      for (int i = 0; i < 1_200; i++) {
        late.add(
            single.send(
                single.outbound.port(),
                "back",
                HttpMethod.GET,
                "/safe",
                NO_BODY,
                MeshHeaders.DEADLINE_MS,
                "20"));
      }
      late.forEach(ProxyFixture::await);
      for (int i = 0; i < 10; i++) {
        assertEquals(200, single.call(HttpMethod.GET, "/safe", NO_BODY).status());
      }
    }
  }

  /** An external client must not disable retries, expire deadlines or forge a target time. */
  @Test
  void meshHeadersOfOutsideCallersAreRemoved() {
    CompletableFuture<MultiMap> seen = new CompletableFuture<>();
    int target =
        ProxyFixture.await(
                mesh.vertx
                    .createHttpServer()
                    .requestHandler(
                        request -> {
                          seen.complete(request.headers());
                          request.response().end();
                        })
                    .listen(0, "127.0.0.1"))
            .actualPort();
    int node = mesh.addNode("front", target);
    ProxyFixture.Response response =
        ProxyFixture.await(
            mesh.send(
                node,
                "front",
                HttpMethod.GET,
                "/safe",
                NO_BODY,
                "X-Acaciapond-Retry",
                "1",
                MeshHeaders.TARGET_TIME_US,
                "7",
                MeshHeaders.DEADLINE_MS,
                "0"));
    assertEquals(200, response.status());
    assertNull(seen.join().get(MeshHeaders.RETRY));
    assertNull(seen.join().get(MeshHeaders.TARGET_TIME_US));
  }

  /** A changed limit must apply to later calls without interrupting those in flight. */
  @Test
  void targetPoolFollowsTheConfiguredConnections() {
    TargetPool pool = new TargetPool(mesh.vertx, 2);
    TargetPool.Lease first = pool.acquire(10);
    assertSame(first, pool.acquire(10));
    TargetPool.Lease second = pool.acquire(20);
    assertNotSame(first, second);
    int port =
        ProxyFixture.await(
                mesh.vertx.createHttpServer().requestHandler(this::respond).listen(0, "127.0.0.1"))
            .actualPort();
    var request = first.client.request(HttpMethod.GET, port, "127.0.0.1", "/");
    assertEquals(200, ProxyFixture.await(request.compose(r -> r.send())).statusCode());
  }
}
