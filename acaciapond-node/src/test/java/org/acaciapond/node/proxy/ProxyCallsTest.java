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

class ProxyCallsTest {

  private static final Buffer NONE = Buffer.buffer();
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

  private void answer(HttpServerRequest request) {
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

  private static void assertOutcome(String expected, int status, ProxyFixture.Answer answer) {
    assertEquals(status, answer.status(), () -> answer.body().toString());
    assertEquals(expected, answer.headers().get(MeshHeaders.OUTCOME));
  }

  /** I5: bodies beyond every buffer arrive whole and unchanged in both directions. */
  @Test
  void largeBodiesAreStreamedUnchanged() {
    mesh.addTarget(this::echo);
    byte[] bytes = new byte[3 * 1024 * 1024];
    new Random(3).nextBytes(bytes);
    ProxyFixture.Answer answer = mesh.call(HttpMethod.POST, "/once", Buffer.buffer(bytes));
    assertEquals(200, answer.status());
    assertEquals(Buffer.buffer(bytes), answer.body());
  }

  /** I5: answers that arrive out of order must reach the callers that asked. */
  @Test
  void concurrentCallsReceiveTheirOwnAnswers() {
    mesh.addTarget(
        request ->
            mesh.vertx.setTimer(
                1 + Math.floorMod(request.uri().hashCode(), 30),
                id -> request.response().end(request.uri())));
    List<Future<ProxyFixture.Answer>> answers = new ArrayList<>();
    for (int round = 0; round < 10; round++) {
      List<Future<ProxyFixture.Answer>> batch = new ArrayList<>();
      for (int i = 0; i < 16; i++) {
        String path = "/safe/" + round + "/" + i;
        batch.add(mesh.send(mesh.outbound.port(), "back", HttpMethod.GET, path, NONE));
      }
      ProxyFixture.await(Future.all(batch));
      answers.addAll(batch);
    }
    for (int i = 0; i < answers.size(); i++) {
      assertEquals("/safe/" + i / 16 + "/" + i % 16, answers.get(i).result().body().toString());
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

  @Test
  void lostIdempotentCallIsSentOnceMoreWithItsBody() {
    mesh.addTarget(this::loseConnection);
    mesh.addTarget(this::loseConnection);
    assertOutcome("unknown", 502, mesh.call(HttpMethod.PUT, "/safe", Buffer.buffer("x")));
    assertEquals(2, runs.get());
    assertEquals(1, mesh.counters.retries());
  }

  /** I6: a target that was never reached allows another one, even for calls that run once. */
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

  /** Retries would multiply with the depth of a chain. */
  @Test
  void neitherRetriesNorRefusalsFromDeeperAreRetried() {
    mesh.addNode(freePort());
    mesh.call(HttpMethod.GET, "/safe", NONE, MeshHeaders.RETRY, "1");
    assertEquals(0, mesh.counters.retries());
    mesh.endpoints.clear();
    mesh.addTarget(
        request -> {
          runs.incrementAndGet();
          request.response().setStatusCode(503).putHeader(MeshHeaders.OUTCOME, "not-run").end();
        });
    ProxyFixture.Answer answer = mesh.call(HttpMethod.GET, "/safe", NONE);
    assertNull(answer.headers().get(MeshHeaders.OUTCOME), "the target of this hop ran");
    assertEquals("not-run", answer.headers().get(MeshHeaders.DEEPER_OUTCOME));
    assertEquals(1, runs.get());
  }

  @Test
  void deadlineIsSubtractedAndItsEndIsUnknown() throws Exception {
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

  /** Work for a caller that is gone would take slots from callers that wait. */
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
      // The slot is freed after the connection to the target was closed; it must not stay taken.
      Thread.onSpinWait();
    }
  }

  @Test
  void malformedRequestClosesItsOwnConnectionOnly() throws Exception {
    mesh.addTarget(this::answer);
    NetSocket bad =
        ProxyFixture.await(mesh.vertx.createNetClient().connect(mesh.outbound.port(), "127.0.0.1"));
    CompletableFuture<Void> closed = new CompletableFuture<>();
    bad.closeHandler(ignored -> closed.complete(null));
    bad.write("GET /safe HTTP/1.1\r\nHost: back\r\nno colon here\r\n\r\n");
    closed.get(10, TimeUnit.SECONDS);
    assertEquals(1, mesh.counters.malformedRequests());
    assertEquals(200, mesh.call(HttpMethod.GET, "/safe", NONE).status());
  }

  @Test
  void bothEndsEnforceReachability() {
    int inbound = mesh.addTarget(this::answer);
    assertOutcome(
        "not-run",
        403,
        ProxyFixture.await(
            mesh.send(mesh.outbound.port(), "stranger", HttpMethod.GET, "/safe", NONE)));
    assertOutcome(
        "not-run",
        403,
        ProxyFixture.await(
            mesh.send(
                inbound, "back", HttpMethod.GET, "/safe", NONE, MeshHeaders.CALLER, "stranger")));
    assertOutcome(
        "not-run",
        403,
        ProxyFixture.await(mesh.send(inbound, "back", HttpMethod.GET, "/safe", NONE)));
    assertEquals(0, runs.get());
  }

  @Test
  void bodyBeyondTheLimitIsRefused() {
    mesh.addTarget(this::echo);
    Buffer tooLarge = Buffer.buffer(new byte[ProxyFixture.MAX_BODY_BYTES + 1]);
    assertOutcome("not-run", 413, mesh.call(HttpMethod.POST, "/once", tooLarge));
    assertEquals(0, runs.get());
  }

  /** An open connection that went silent would hang its calls until their deadline. */
  @Test
  void silentConnectionIsReplacedAndItsCallsFollowTheRetryRule() {
    try (ProxyFixture single = new ProxyFixture(1)) {
      checkSilentConnections(single);
    }
  }

  private void checkSilentConnections(ProxyFixture mesh) {
    int node = mesh.addTarget(this::answer);
    mesh.endpoints.clear();
    ProxyFixture.Relay relay = mesh.relay(node);
    mesh.addEndpoint(relay.port);
    mesh.addEndpoint(relay.port);
    assertEquals(200, mesh.call(HttpMethod.GET, "/safe", NONE).status());
    relay.silence();
    ProxyFixture.Answer safe = mesh.call(HttpMethod.GET, "/safe", NONE);
    assertEquals(200, safe.status(), () -> safe.body().toString());
    assertTrue(mesh.counters.silentConnections() >= 1);
    relay.silence();
    assertOutcome("unknown", 502, mesh.call(HttpMethod.POST, "/once", Buffer.buffer("x")));
  }

  /** I9: a planned stop lets the calls in flight end and refuses later ones as not run. */
  @Test
  void stopCutsNothingInFlight() {
    List<HttpServerRequest> held = new java.util.concurrent.CopyOnWriteArrayList<>();
    CompletableFuture<Void> all = new CompletableFuture<>();
    int inbound =
        mesh.addTarget(
            request -> {
              held.add(request);
              if (held.size() == 8) {
                all.complete(null);
              }
            });
    List<Future<ProxyFixture.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      answers.add(mesh.send(mesh.outbound.port(), "back", HttpMethod.GET, "/safe", NONE));
    }
    all.join();
    CompletableFuture<Void> stopped =
        mesh.inbounds.get(0).stop().subscribeAsCompletionStage().toCompletableFuture();
    ProxyFixture.Answer late;
    do {
      late =
          ProxyFixture.await(
              mesh.send(
                  inbound,
                  "back",
                  HttpMethod.GET,
                  "/safe",
                  NONE,
                  MeshHeaders.CALLER,
                  "front",
                  MeshHeaders.DEADLINE_MS,
                  "50"));
    } while (late.status() == 504);
    assertOutcome("not-run", 503, late);
    assertTrue(!stopped.isDone(), "closed with calls in flight");
    held.forEach(request -> request.response().end("whole"));
    for (Future<ProxyFixture.Answer> answer : answers) {
      assertEquals("whole", ProxyFixture.await(answer).body().toString());
    }
    stopped.join();
  }

  @Test
  void leavingTargetReceivesNoNewWork() {
    mesh.addTarget(this::answer);
    LocalTarget target = mesh.targets.get(0);
    LocalTarget.Announcement known = target.announcement();
    assertEquals(200, mesh.call(HttpMethod.GET, "/safe", NONE).status());
    target.announce(new LocalTarget.Announcement("v1", known.port(), 1, true));
    ProxyFixture.Answer answer;
    do {
      answer = mesh.call(HttpMethod.GET, "/safe", NONE);
    } while (answer.status() == 200);
    assertOutcome("not-run", 503, answer);
  }

  /**
   * A connection that is accepted but never answers its handshake must be replaced: the pool holds
   * one connection to a node, so that all later calls to the node would wait for it.
   */
  @Test
  void connectionThatGoesSilentInItsHandshakeIsReplaced() {
    ProxyFixture.Relay relay = mesh.relay(mesh.addTarget(this::answer));
    mesh.endpoints.clear();
    mesh.addEndpoint(relay.port);
    mesh.addEndpoint(relay.port);
    relay.holdBack(true);
    assertOutcome(MeshHeaders.OUTCOME_NOT_RUN, 504, mesh.call(HttpMethod.GET, "/quick", NONE));
    relay.holdBack(false);
    ProxyFixture.Answer answer = mesh.call(HttpMethod.GET, "/safe", NONE);
    assertEquals(200, answer.status(), () -> answer.body().toString());
  }

  /**
   * Calls whose deadline passes while they wait for a connection must give back their streams:
   * otherwise a slow start under load uses up the streams of the connection for good.
   */
  @Test
  void callsThatWaitedInVainForTheConnectionGiveTheirStreamsBack() {
    try (ProxyFixture single = new ProxyFixture(1)) {
      ProxyFixture.Relay relay = single.relay(single.addTarget(this::answer));
      single.endpoints.clear();
      single.addEndpoint(relay.port);
      relay.delayMs(900);
      List<Future<ProxyFixture.Answer>> late = new ArrayList<>();
      for (int i = 0; i < 1_200; i++) {
        late.add(
            single.send(
                single.outbound.port(),
                "back",
                HttpMethod.GET,
                "/safe",
                NONE,
                MeshHeaders.DEADLINE_MS,
                "20"));
      }
      late.forEach(ProxyFixture::await);
      for (int i = 0; i < 10; i++) {
        assertEquals(200, single.call(HttpMethod.GET, "/safe", NONE).status());
      }
    }
  }

  /** An outside caller must not switch off retries, spend deadlines or state a target time. */
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
    ProxyFixture.Answer answer =
        ProxyFixture.await(
            mesh.send(
                node,
                "front",
                HttpMethod.GET,
                "/safe",
                NONE,
                "X-Acaciapond-Retry",
                "1",
                MeshHeaders.TARGET_TIME_US,
                "7",
                MeshHeaders.DEADLINE_MS,
                "0"));
    assertEquals(200, answer.status());
    assertNull(seen.join().get(MeshHeaders.RETRY));
    assertNull(seen.join().get(MeshHeaders.TARGET_TIME_US));
  }

  /** A changed limit must take effect on later calls without cutting those in flight. */
  @Test
  void poolOfTheTargetFollowsTheConfiguredConnections() {
    TargetPool pool = new TargetPool(mesh.vertx, 2);
    TargetPool.Lease first = pool.acquire(10);
    assertSame(first, pool.acquire(10));
    TargetPool.Lease second = pool.acquire(20);
    assertNotSame(first, second);
    int port =
        ProxyFixture.await(
                mesh.vertx.createHttpServer().requestHandler(this::answer).listen(0, "127.0.0.1"))
            .actualPort();
    var request = first.client.request(HttpMethod.GET, port, "127.0.0.1", "/");
    assertEquals(200, ProxyFixture.await(request.compose(r -> r.send())).statusCode());
  }
}
