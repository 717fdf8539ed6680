package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
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

  private static final int WAIT_S = 10;

  private final Vertx vertx = Vertx.vertx();
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
    listener.start().await().atMost(Duration.ofSeconds(WAIT_S));
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Socket connect(String bytes) throws IOException {
    Socket socket = new Socket("127.0.0.1", listener.port());
    socket.setSoTimeout(WAIT_S * 1_000);
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private HttpExchange next() throws InterruptedException {
    HttpExchange exchange = requests.poll(WAIT_S, TimeUnit.SECONDS);
    assertTrue(exchange != null, "no request arrived");
    return exchange;
  }

  private void answer(HttpExchange exchange, String body) {
    vertx.runOnContext(
        on ->
            exchange.answer(
                new HttpResponse(200, List.of(), body.getBytes(StandardCharsets.UTF_8))));
  }

  private static String read(Socket socket, String until) throws IOException {
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
  void answersLeaveInTheOrderOfTheirRequests() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")) {
      HttpExchange first = next();
      HttpExchange second = next();
      answer(second, "two");
      answer(first, "one");
      String text = read(socket, "two");
      assertTrue(text.indexOf("one") < text.indexOf("two"), text);
    }
  }

  @Test
  void leavingClientIsNoticedWhileItsRequestsWaitBehindAnother() throws Exception {
    CompletableFuture<Void> firstLeft = new CompletableFuture<>();
    CompletableFuture<Void> secondLeft = new CompletableFuture<>();
    Socket socket = connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    HttpExchange first = next();
    HttpExchange second = next();
    CompletableFuture<Void> set = new CompletableFuture<>();
    vertx.runOnContext(
        on -> {
          first.onClose(() -> firstLeft.complete(null));
          second.onClose(() -> secondLeft.complete(null));
          set.complete(null);
        });
    set.get(WAIT_S, TimeUnit.SECONDS);
    socket.close();
    firstLeft.get(WAIT_S, TimeUnit.SECONDS);
    secondLeft.get(WAIT_S, TimeUnit.SECONDS);
  }

  @Test
  void malformedRequestIsRejectedAndNothingBehindItIsTaken() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")) {
      String text = read(socket, "\u0000");
      assertTrue(text.startsWith("HTTP/1.1 400"), text);
      assertTrue(text.contains("close"), text);
      assertEquals(0, requests.size());
    }
  }

  @Test
  void twoHostsAreRejected() throws Exception {
    try (Socket socket = connect("GET /1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")) {
      assertTrue(read(socket, "\u0000").startsWith("HTTP/1.1 400"));
    }
  }

  @Test
  void bodyBeyondTheLimitIsRejected() throws Exception {
    try (Socket socket =
        connect("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n" + "x".repeat(100))) {
      assertTrue(read(socket, "\r\n").startsWith("HTTP/1.1 413"));
      assertEquals(0, requests.size());
    }
  }

  @Test
  void headerBeyondTheLimitIsRejected() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(2_000) + "\r\n\r\n")) {
      assertTrue(read(socket, "\r\n").startsWith("HTTP/1.1 431"));
    }
  }

  @Test
  void chunkedBodyArrivesWhole() throws Exception {
    try (Socket socket =
        connect(
            "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
      HttpExchange exchange = next();
      assertEquals("abcde", new String(exchange.body(), StandardCharsets.UTF_8));
      answer(exchange, "done");
      assertTrue(read(socket, "done").startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  void stoppingListenerAnnouncesTheCloseOnTheLastAnswerOnly() throws Exception {
    try (Socket socket =
        connect("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")) {
      HttpExchange first = next();
      HttpExchange second = next();
      vertx.runOnContext(on -> listener.closeConnectionsAfterAnswers());
      answer(first, "one");
      answer(second, "two");
      String text = read(socket, "two");
      assertTrue(text.indexOf("close") > text.indexOf("one"), text);
    }
  }
}
