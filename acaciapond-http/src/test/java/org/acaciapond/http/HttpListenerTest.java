package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpListenerTest {

  private static final int TIMEOUT_S = 10;
  private static final int SETTLE_MS = 500;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final BlockingQueue<HttpExchange> requests = new LinkedBlockingQueue<>();
  private HttpListener listener;

  @BeforeEach
  void start() {
    listener =
        new HttpListener(
            vertx,
            "127.0.0.1",
            0,
            () -> new ServerLimits(1_024, 64, 60_000, 60_000),
            requests::add,
            HttpListener.Events.NONE,
            TimeSource.system());
    listener.start().await().atMost(Duration.ofSeconds(TIMEOUT_S));
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Socket connect(String bytes) throws IOException {
    Socket socket = new Socket("127.0.0.1", listener.port());
    socket.setSoTimeout(TIMEOUT_S * 1_000);
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private HttpExchange takeRequest() throws InterruptedException {
    HttpExchange exchange = requests.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertTrue(exchange != null, "no request arrived");
    return exchange;
  }

  private void respond(HttpExchange exchange, String body) {
    vertx.runOnContext(
        on ->
            exchange.respond(
                new HttpResponse(200, List.of(), body.getBytes(StandardCharsets.UTF_8))));
  }

  private static String readUntil(Socket socket, String until) throws IOException {
    StringBuilder text = new StringBuilder();
    InputStream in = socket.getInputStream();
    while (text.indexOf(until) < 0) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Test
  void responsesAreSentInOrderOfRequests() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")) {
      HttpExchange first = takeRequest();
      HttpExchange second = takeRequest();
      respond(second, "two");
      respond(first, "one");
      String text = readUntil(socket, "two");
      assertTrue(text.indexOf("one") < text.indexOf("two"), text);
    }
  }

  // Blocks the event loop until the result is completed; returns when it is blocked.
  private CompletableFuture<Void> blockEventLoop() throws Exception {
    CompletableFuture<Void> blocked = new CompletableFuture<>();
    CompletableFuture<Void> released = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          blocked.complete(null);
          released.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
        });
    blocked.get(TIMEOUT_S, TimeUnit.SECONDS);
    return released;
  }

  /** Guards against work for clients that left while a busy node had not read their requests. */
  @Test
  void requestOfClientThatLeftBeforeItWasReadIsNotHandled() throws Exception {
    CompletableFuture<Void> released;
    try (Socket left = connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")) {
      respond(takeRequest(), "one");
      readUntil(left, "one");
      released = blockEventLoop();
      left.getOutputStream()
          .write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    released.complete(null);
    Thread.sleep(SETTLE_MS);
    try (Socket stays = connect("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")) {
      assertEquals("/3", takeRequest().uri());
    }
  }

  @Test
  void disconnectIsReportedToAllPipelinedRequests() throws Exception {
    CompletableFuture<Void> firstClosed = new CompletableFuture<>();
    CompletableFuture<Void> secondClosed = new CompletableFuture<>();
    Socket socket = connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    HttpExchange first = takeRequest();
    HttpExchange second = takeRequest();
    CompletableFuture<Void> set = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          first.onClose(() -> firstClosed.complete(null));
          second.onClose(() -> secondClosed.complete(null));
          set.complete(null);
        });
    set.get(TIMEOUT_S, TimeUnit.SECONDS);
    socket.close();
    firstClosed.get(TIMEOUT_S, TimeUnit.SECONDS);
    secondClosed.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  void malformedRequestIsRejectedAndLaterOnesIgnored() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")) {
      String text = readUntil(socket, "\u0000");
      assertTrue(text.startsWith("HTTP/1.1 400"), text);
      assertTrue(text.contains("close"), text);
      assertEquals(0, requests.size());
    }
  }

  @Test
  void requestWithTwoHostHeadersIsRejected() throws Exception {
    try (Socket socket = connect("GET /1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")) {
      assertTrue(readUntil(socket, "\u0000").startsWith("HTTP/1.1 400"));
    }
  }

  @Test
  void bodyAboveLimitIsRejected() throws Exception {
    try (Socket socket =
        connect("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + "x".repeat(100))) {
      assertTrue(readUntil(socket, "\r\n").startsWith("HTTP/1.1 413"));
      assertEquals(0, requests.size());
    }
  }

  @Test
  void headerAboveLimitIsRejected() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(2_000) + "\r\n\r\n")) {
      assertTrue(readUntil(socket, "\r\n").startsWith("HTTP/1.1 431"));
    }
  }

  @Test
  void chunkedBodyIsReceivedCompletely() throws Exception {
    try (Socket socket =
        connect(
            "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
      HttpExchange exchange = takeRequest();
      assertEquals("abcde", new String(exchange.body(), StandardCharsets.UTF_8));
      respond(exchange, "done");
      assertTrue(readUntil(socket, "done").startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  void closeIsAnnouncedOnLastPendingResponseOnly() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")) {
      HttpExchange first = takeRequest();
      HttpExchange second = takeRequest();
      vertx.runOnContext(on -> listener.closeConnectionsAfterResponses());
      respond(first, "one");
      respond(second, "two");
      String text = readUntil(socket, "two");
      assertTrue(text.indexOf("close") > text.indexOf("one"), text);
    }
  }
}
