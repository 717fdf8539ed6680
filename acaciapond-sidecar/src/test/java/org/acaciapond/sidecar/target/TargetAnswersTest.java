package org.acaciapond.sidecar.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.acaciapond.mesh.call.MeshResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a call that gets another response than the one that its target gave to it. The
 * target is a plain socket that writes a given text for each request that it reads, and before it
 * late copies of what it wrote on the same connection.
 */
class TargetAnswersTest {

  private static final int WAIT_S = 20;
  private static final int LEFT_MS = 8_000;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ConcurrentHashMap<Integer, String> texts = new ConcurrentHashMap<>();
  // Written before the text of the request if the connection has carried a request before.
  private final ConcurrentHashMap<Integer, String> lateTexts = new ConcurrentHashMap<>();
  private ScriptedTarget target;
  private TargetGateway gateway;

  @BeforeEach
  void start() throws Exception {
    target = new ScriptedTarget(threads, this::respond);
    CompletableFuture<Void> ready = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          gateway = GatewayFixture.startGateway(vertx, target.port());
          ready.complete(null);
        });
    ready.get(WAIT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() throws IOException {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    target.close();
    threads.shutdownNow();
  }

  private void respond(int arrival, int numberOnConnection, OutputStream out) throws IOException {
    int request = arrival - 1;
    String late = numberOnConnection > 1 ? lateTexts.getOrDefault(request, "") : "";
    String text = late + texts.getOrDefault(request, "");
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String response(int status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + " Reason\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Server-Signature: sig-"
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String notRun() {
    return "HTTP/1.1 503 Reason\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n";
  }

  /** Submits all calls at once; the target has one slot, so that they run one after another. */
  private List<String> submit(String... ids) throws Exception {
    List<CompletableFuture<MeshResponse>> ends = new ArrayList<>();
    for (String id : ids) {
      ends.add(new CompletableFuture<>());
    }
    vertx.runOnContext(
        on -> {
          for (int i = 0; i < ids.length; i++) {
            gateway.submit(GatewayFixture.call(ids[i], LEFT_MS), ends.get(i)::complete);
          }
        });
    List<String> results = new ArrayList<>();
    for (CompletableFuture<MeshResponse> end : ends) {
      results.add(describe(end.get(WAIT_S, TimeUnit.SECONDS)));
    }
    return results;
  }

  private static String describe(MeshResponse response) {
    return response.outcome()
        + " "
        + response.status()
        + " "
        + new String(response.body(), StandardCharsets.UTF_8);
  }

  @Test
  void callsInTurnGetTheirOwnResponses() throws Exception {
    texts.put(0, response(200, "a", "ok"));
    texts.put(1, response(500, "b", "failed"));
    assertEquals(List.of("ANSWERED 200 ok", "ANSWERED 500 failed"), submit("a", "b"));
  }

  /** The cut copy stays in the decoder, and the signed failure is appended to it. */
  @Test
  void signedFailureDoesNotBecomeSuccessAfterCutCopyOfTheLastResponse() throws Exception {
    texts.put(0, response(200, "a", "ok") + "HTTP/1.1 200 OK");
    texts.put(1, response(500, "b", "failed"));
    assertEquals("ANSWERED 500 failed", submit("a", "b").get(1));
  }

  /** The same if the connection was idle in between. */
  @Test
  void signedFailureDoesNotBecomeSuccessAfterCutCopyOnIdleConnection() throws Exception {
    texts.put(0, response(200, "a", "ok") + "HTTP/1.1 200 OK\r\nDate: x");
    texts.put(1, response(500, "b", "failed"));
    submit("a");
    Thread.sleep(200);
    assertEquals("ANSWERED 500 failed", submit("b").get(0));
  }

  /** Bytes in the segment of the last response are no reason to fail the next call. */
  @Test
  void bytesAfterTheLastResponseDoNotFailTheNextCall() throws Exception {
    texts.put(0, response(200, "a", "ok") + "nonsense\r\n\r\n");
    texts.put(1, response(200, "b", "fine"));
    assertEquals("ANSWERED 200 fine", submit("a", "b").get(1));
  }

  /** A parent that runs again makes its nested calls again, under the same ids. */
  @Test
  void lateCopyIsNotTheResponseToTheSecondRunUnderTheSameId() throws Exception {
    texts.put(0, response(200, "p.1", "first"));
    lateTexts.put(1, response(200, "p.1", "first"));
    texts.put(1, response(500, "p.1", "second"));
    assertEquals("ANSWERED 500 second", submit("p.1", "p.1").get(1));
  }

  /** The same with another call in between on the connection. */
  @Test
  void laterCopyIsNotTheResponseToTheSecondRunUnderTheSameId() throws Exception {
    texts.put(0, response(200, "p.1", "first"));
    texts.put(1, response(200, "q.1", "other"));
    lateTexts.put(2, response(200, "p.1", "first"));
    texts.put(2, response(500, "p.1", "second"));
    assertEquals("ANSWERED 500 second", submit("p.1", "q.1", "p.1").get(2));
  }

  /** Otherwise a call that ran would be reported as not run and sent to another target. */
  @Test
  void copyOfRefusalWithoutIdDoesNotRefuseTheNextCall() throws Exception {
    texts.put(0, notRun());
    lateTexts.put(1, notRun());
    texts.put(1, response(200, "b", "ran"));
    assertEquals("ANSWERED 200 ran", submit("a", "b").get(1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Attempt-Id: a~X-Server-Signature: s1~X-Server-Signature: s2",
        "X-Attempt-Id: a~X-Server-Signature: s1~X-Server-Signature: s2~X-Not-Executed: full",
        "X-Attempt-Id: a~X-Attempt-Id: b~X-Server-Signature: s1"
      })
  void responseWithHeadersOfTwoResponsesIsInvalid(String lines) throws Exception {
    String headers = lines.replace("~", "\r\n");
    texts.put(0, "HTTP/1.1 200 OK\r\n" + headers + "\r\nContent-Length: 1\r\n\r\nx");
    assertEquals("UNKNOWN 0 ", submit("a").get(0));
  }

  /** A target in trouble has sent what is not its response; more of it may follow. */
  @Test
  void connectionOfAnUnsignedSuccessIsNotUsedAgain() throws Exception {
    texts.put(0, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 1\r\n\r\nx");
    texts.put(1, response(200, "b", "fine"));
    assertEquals("UNKNOWN 0 ", submit("a").get(0));
    submit("b");
    assertEquals(2, target.connectionCount());
  }
}
