package org.acaciapond.sidecar.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node whose log and metrics cannot tell why a caller got a response that was not
 * its own.
 */
class TargetDiagnosticsTest {

  private static final Duration WAIT = Duration.ofSeconds(10);
  private static final int CALL_LEFT_MS = 5_000;
  private static final int SHORT_CALL_LEFT_MS = 200;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private final EventLog log =
      new EventLog(
          "n1", new PrintStream(lines, false, StandardCharsets.UTF_8), TimeSource.system());
  private final NodeMetrics metrics = new NodeMetrics();
  private StubTarget target;
  private TargetGateway gateway;

  @BeforeEach
  void start() throws Exception {
    log.start().await().atMost(WAIT);
    target = new StubTarget();
    gateway = GatewayFixture.newGateway(vertx, target.port(), log, metrics);
    checkIn(1);
    onLoop(() -> gateway.startAdmission());
  }

  @AfterEach
  void stop() throws Exception {
    target.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
    log.stop().await().atMost(WAIT);
  }

  private void onLoop(Runnable action) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          action.run();
          done.complete(null);
        });
    done.get(WAIT.toSeconds(), TimeUnit.SECONDS);
  }

  private void checkIn(long startedMs) throws Exception {
    onLoop(() -> GatewayFixture.checkIn(gateway, startedMs));
  }

  private CompletableFuture<MeshResponse> submit(String id, int leftMs) {
    MeshCall call = GatewayFixture.call(id, leftMs);
    CompletableFuture<MeshResponse> response = new CompletableFuture<>();
    vertx.runOnContext(on -> gateway.submit(call, response::complete));
    return response;
  }

  private MeshResponse call(String id) throws Exception {
    return submit(id, CALL_LEFT_MS).get(WAIT.toSeconds(), TimeUnit.SECONDS);
  }

  private List<JsonObject> events(String name) {
    return lines
        .toString(StandardCharsets.UTF_8)
        .lines()
        .map(JsonObject::new)
        .filter(line -> line.getString("event").equals(name))
        .toList();
  }

  private JsonObject awaitEvent(String name) throws InterruptedException {
    long end = System.nanoTime() + WAIT.toNanos();
    while (events(name).isEmpty()) {
      assertTrue(System.nanoTime() < end, "no " + name + " in " + lines);
      Thread.sleep(20);
    }
    assertEquals(1, events(name).size());
    return events(name).get(0);
  }

  private void assertMetric(String line) {
    String text = new String(metrics.scrape(), StandardCharsets.UTF_8);
    assertTrue(text.lines().anyMatch(line::equals), text);
  }

  private static void assertFields(JsonObject event, Object... fields) {
    for (int i = 0; i + 1 < fields.length; i += 2) {
      assertEquals(fields[i + 1], event.getValue((String) fields[i]), event.encode());
    }
  }

  @Test
  void answeredCallsLeaveNoEvent() throws Exception {
    call("a");
    call("b");
    log.stop().await().atMost(WAIT);
    assertEquals(List.of(), events("unexpected_response"));
    assertEquals(List.of(), events("call_repeated"));
    assertEquals(List.of(), events("repeated_call_ended"));
  }

  @Test
  void lateCopyOnIdleConnectionIsCountedAndLogged() throws Exception {
    call("a");
    call("b");
    target.writeUnasked(StubTarget.response("a", 200));
    JsonObject event = awaitEvent("unexpected_response");
    assertFields(
        event, "kind", "IDLE", "id", "b", "previous_id", "a", "returned_id", "a", "status", 200);
    assertFields(event, "connection", 1);
    assertTrue(event.getInteger("since_answer_ms") >= 0);
    assertTrue(event.getInteger("received_bytes") > 0);
    assertMetric("acaciapond_unexpected_responses_total{kind=\"idle\"} 1.0");
  }

  @Test
  void skippedResponseOfAnotherCallIsCountedAndLogged() throws Exception {
    target.setAnswer(id -> StubTarget.response("z", 500) + StubTarget.response(id, 200));
    assertEquals(200, call("a").status());
    assertFields(
        awaitEvent("unexpected_response"),
        "kind",
        "OTHER_REQUEST",
        "id",
        "a",
        "previous_id",
        "",
        "returned_id",
        "z",
        "status",
        500,
        "since_answer_ms",
        -1);
    assertMetric("acaciapond_unexpected_responses_total{kind=\"other_request\"} 1.0");
  }

  @Test
  void copyInTheSameReadIsCountedAndLogged() throws Exception {
    target.setAnswer(id -> StubTarget.response(id, 200).repeat(2));
    assertEquals(200, call("a").status());
    assertFields(
        awaitEvent("unexpected_response"),
        "kind",
        "AFTER_RESPONSE",
        "id",
        "a",
        "returned_id",
        "a",
        "since_answer_ms",
        0);
    assertMetric("acaciapond_unexpected_responses_total{kind=\"after_response\"} 1.0");
  }

  @Test
  void repeatedCallNamesTheFirstRunAndItsConnection() throws Exception {
    target.setAnswer(id -> StubTarget.response(id, 500));
    assertEquals(500, call("a").status());
    target.setAnswer(id -> StubTarget.response(id, 200));
    assertEquals(200, call("a").status());
    assertFields(
        awaitEvent("call_repeated"),
        "id",
        "a",
        "route",
        GatewayFixture.ROUTE,
        "run",
        2,
        "previous_outcome",
        "ANSWERED",
        "previous_reason",
        "NONE",
        "previous_status",
        500,
        "previous_connection",
        1,
        "connection",
        2);
    assertFields(
        awaitEvent("repeated_call_ended"), "id", "a", "outcome", "ANSWERED", "status", 200);
    assertMetric("acaciapond_repeated_calls_total 1.0");
  }

  @Test
  void repeatedCallAfterExpiredOneNamesItsReason() throws Exception {
    target.setAnswer(id -> "");
    CompletableFuture<MeshResponse> expired = submit("a", SHORT_CALL_LEFT_MS);
    assertEquals(Reason.EXPIRED, expired.get(WAIT.toSeconds(), TimeUnit.SECONDS).reason());
    target.setAnswer(id -> StubTarget.response(id, 200));
    assertEquals(200, call("a").status());
    assertFields(
        awaitEvent("call_repeated"),
        "previous_outcome",
        "UNKNOWN",
        "previous_reason",
        "EXPIRED",
        "previous_status",
        0,
        "previous_connection",
        1,
        "connection",
        2);
    assertMetric("acaciapond_repeated_calls_total 1.0");
  }

  /** Calls of an earlier lifetime of the target are not repeated in a new one. */
  @Test
  void callInAnotherLifetimeIsNoRepeat() throws Exception {
    call("a");
    checkIn(2);
    call("a");
    log.stop().await().atMost(WAIT);
    assertEquals(List.of(), events("call_repeated"));
  }

  @Test
  void unsignedSuccessIsLoggedWithItsBytes() throws Exception {
    String unsigned = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nok";
    target.setAnswer(id -> unsigned);
    assertEquals(Outcome.UNKNOWN, call("a").outcome());
    assertFields(
        awaitEvent("bad_answer"), "id", "a", "status", 200, "received_bytes", unsigned.length());
  }

  @Test
  void brokenCallIsLoggedWithStatusAndBytes() throws Exception {
    String invalid =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n";
    target.setAnswer(id -> invalid);
    assertEquals(Reason.BAD_ANSWER, call("a").reason());
    JsonObject event = awaitEvent("target_broke");
    assertFields(event, "bad_answer", true, "status", 200, "received_bytes", invalid.length());
    assertFields(event, "connection", 1);
  }

  /** Guards against a memory of calls that grows with every call. */
  @Test
  void recentRunsAreBoundedAndKeepTheNewest() {
    RecentRuns runs = new RecentRuns(2);
    CallRun first = new CallRun(0, 1);
    runs.put("a", first);
    runs.put("b", new CallRun(1, 1));
    assertEquals(first, runs.put("a", new CallRun(2, 1)));
    runs.put("c", new CallRun(3, 1));
    assertNull(runs.put("b", new CallRun(4, 1)));
    assertFalse(runs.put("c", new CallRun(5, 1)) == null);
  }
}
