package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.acaciapond.common.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what clients are told when the limits of the process end their requests. */
class ListenerLimitsTest {

  private static final int TIMEOUT_S = 10;
  private static final int MEMORY_BYTES = 1_200_000;
  private static final int USED_BYTES = 600_000;
  private static final int MAX_BODY_BYTES = 2_000_000;
  private static final int MAX_CONNECTIONS = 3;
  private static final String POST = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n";

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final MemoryAccount memory = new MemoryAccount(MEMORY_BYTES);
  private final BlockingQueue<HttpListener.Limit> limited = new LinkedBlockingQueue<>();
  private HttpListener listener;

  private void start(int idleTimeoutMs) {
    listener =
        new HttpListener(
            vertx,
            "127.0.0.1",
            0,
            () -> new ServerLimits(1_024, MAX_BODY_BYTES, 60_000, idleTimeoutMs),
            new ListenerResources(memory, MAX_CONNECTIONS),
            exchange -> exchange.respond(HttpResponse.empty(200, List.of())),
            new HttpListener.Events() {
              @Override
              public void requestRejected(int status, String clientHost) {}

              @Override
              public void connectionFailed(String message) {}

              @Override
              public void limited(HttpListener.Limit limit) {
                limited.add(limit);
              }
            },
            TimeSource.system());
    listener.start().await().atMost(Duration.ofSeconds(TIMEOUT_S));
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Socket connect(String text) throws IOException {
    Socket socket = new Socket("127.0.0.1", listener.port());
    socket.setSoTimeout(TIMEOUT_S * 1_000);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static String readStatus(Socket socket) throws IOException {
    return new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
  }

  /** Guards against a body that is received although its length is known to be too large. */
  @Test
  void announcedBodyAboveTheLimitIsRejectedAtTheHead() throws Exception {
    start(60_000);
    try (Socket socket = connect(POST.formatted(MAX_BODY_BYTES + 1, ""))) {
      assertTrue(readAll(socket).startsWith("HTTP/1.1 413"));
    }
  }

  /** Guards against a body that is held for ever, as its client stopped short of its end. */
  @Test
  void bodyWithoutProgressIsEnded() throws Exception {
    start(300);
    try (Socket socket = connect(POST.formatted(2, "") + "x")) {
      assertTrue(readAll(socket).startsWith("HTTP/1.1 408"));
    }
    assertEquals(HttpListener.Limit.UPLOAD_STALLED, limited.take());
    assertEquals(0, memory.usedBytes());
  }

  /** Guards against a reset that hides the promise of the status from a client that still sends. */
  @Test
  void clientThatIsStillSendingReadsThatItsRequestWasRefused() throws Exception {
    start(60_000);
    memory.add(USED_BYTES);
    try (Socket socket = connect(POST.formatted(900_000, "") + "x".repeat(800_000))) {
      String response = readAll(socket);
      assertTrue(response.startsWith("HTTP/1.1 503"), response);
      assertTrue(response.contains("etry-"), response);
    }
    assertEquals(USED_BYTES, memory.usedBytes());
  }

  /** Guards against 100-continue for a body that is refused afterwards. */
  @Test
  void bodyIsAskedForOnlyOnceThereIsMemory() throws Exception {
    start(60_000);
    memory.add(USED_BYTES);
    try (Socket socket = connect(POST.formatted(900_000, "Expect: 100-continue\r\n"))) {
      vertx.setTimer(200, id -> memory.release(USED_BYTES));
      assertEquals("HTTP/1.1 100", readStatus(socket));
    }
  }

  /** Guards against a crowd of open connections that keeps everybody else out. */
  @Test
  void connectionThatIsSilentForLongestGivesWay() throws Exception {
    start(60_000);
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      silent.add(connect("GET / HTTP/1.1\r\n"));
    }
    try (Socket socket = connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) {
      assertEquals("HTTP/1.1 200", readStatus(socket));
    }
    assertEquals(HttpListener.Limit.CONNECTION_EVICTED, limited.take());
    for (Socket each : silent) {
      each.close();
    }
  }
}
