package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import io.vertx.core.net.impl.NetSocketInternal;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.UnexpectedResponse.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses of a faulty server that leave no trace for whoever explains an error.
 */
class UnexpectedResponseTest {

  private static final int TIMEOUT_S = 10;
  private static final int SETTLE_MS = 300;
  private static final String PARTIAL_HEAD = "HTTP/1.1 200 OK\r\nId: fi";

  private final Vertx vertx = Vertx.vertx();
  private final List<UnexpectedResponse> unexpected = new CopyOnWriteArrayList<>();
  private final List<String> results = new CopyOnWriteArrayList<>();

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Sends requests with the given ids, each as soon as the one before it has its response and if
   * the connection is usable.
   */
  private final class Requests implements ClientConnection.Listener {
    private final List<String> ids;
    private final ClientConnection connection;
    private int sent;

    Requests(NetSocketInternal socket, List<String> ids) {
      this.ids = ids;
      connection =
          new ClientConnection(
              socket, 1_000, new BodyBudget(1_000), () -> {}, unexpected::add, TimeSource.system());
    }

    void sendNext() {
      if (sent < ids.size()) {
        String id = ids.get(sent++);
        connection.send(
            new ClientRequest(
                "GET",
                "/",
                List.of("Host", "a"),
                new byte[0],
                headers -> id.equals(HttpMessage.header(headers, "Id"))),
            this);
      }
    }

    @Override
    public void responseReceived(HttpResponse response) {
      results.add(new String(response.body(), StandardCharsets.UTF_8));
      if (connection.isUsable(System.nanoTime(), Long.MAX_VALUE)) {
        sendNext();
      }
    }

    @Override
    public void requestFailed(boolean badResponse, String message) {
      results.add(connection.receivedStatus() + " " + connection.receivedBytes());
    }
  }

  /** Answers the first request with the given bytes, written one after another with pauses. */
  private void exchange(List<String> ids, boolean close, String... writes) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Requests> requests = new CompletableFuture<>();
      vertx
          .createNetClient()
          .connect(server.getLocalPort(), "127.0.0.1")
          .onSuccess(
              socket -> {
                Requests created = new Requests((NetSocketInternal) socket, ids);
                created.sendNext();
                requests.complete(created);
              });
      try (Socket socket = server.accept()) {
        assertTrue(socket.getInputStream().read(new byte[4_096]) > 0);
        requests.get(TIMEOUT_S, TimeUnit.SECONDS);
        for (String bytes : writes) {
          writeIfOpen(socket, bytes);
          Thread.sleep(SETTLE_MS);
        }
        if (close) {
          socket.close();
          Thread.sleep(SETTLE_MS);
        }
      }
    }
  }

  private static void writeIfOpen(Socket socket, String bytes) {
    try {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      // The client has closed the connection, as it should after unexpected bytes.
    }
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nId: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String returnedId(UnexpectedResponse response) {
    ResponseHead head = response.head();
    return head == null ? "none" : head.status() + " " + HttpMessage.header(head.headers(), "Id");
  }

  private List<Kind> kinds() {
    return unexpected.stream().map(UnexpectedResponse::kind).toList();
  }

  @Test
  void expectedResponsesAreNotReported() throws Exception {
    String chunked = "HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n";
    exchange(
        List.of("first"),
        false,
        "HTTP/1.1 100 Continue\r\n\r\n" + chunked + "2\r\nok\r\n0\r\n\r\n");
    assertEquals(List.of("ok"), results);
    assertEquals(List.of(), kinds());
  }

  @Test
  void skippedResponseOfAnotherRequestIsReported() throws Exception {
    exchange(List.of("first"), false, response("other", "stray"), response("first", "ok"));
    assertEquals(List.of("ok"), results);
    assertEquals(List.of(Kind.OTHER_REQUEST), kinds());
    UnexpectedResponse skipped = unexpected.get(0);
    assertEquals("200 other", returnedId(skipped));
    assertEquals(response("other", "stray").length(), skipped.receivedBytes());
    assertNull(skipped.sinceLastResponse());
  }

  @Test
  void copyInTheSameReadIsReported() throws Exception {
    String copy = response("first", "ok");
    exchange(List.of("first"), false, copy + copy);
    assertEquals(List.of(Kind.AFTER_RESPONSE), kinds());
    assertEquals("200 first", returnedId(unexpected.get(0)));
    assertEquals(copy.length(), unexpected.get(0).receivedBytes());
    assertNotNull(unexpected.get(0).sinceLastResponse());
  }

  @ParameterizedTest
  @ValueSource(strings = {PARTIAL_HEAD, "x", "\r\n", "nonsense\r\n\r\n"})
  void bytesThatAreNoResponseAreReportedAfterResponse(String bytes) throws Exception {
    exchange(List.of("first"), false, response("first", "ok") + bytes);
    assertEquals(List.of("ok"), results);
    assertEquals(List.of(Kind.AFTER_RESPONSE), kinds());
    assertNull(unexpected.get(0).head());
    assertEquals(bytes.length(), unexpected.get(0).receivedBytes());
  }

  @Test
  void lateCopyOnIdleConnectionIsReportedOnce() throws Exception {
    String copy = response("first", "ok");
    exchange(List.of("first"), false, copy, copy, copy);
    assertEquals(List.of(Kind.IDLE), kinds());
    assertEquals("200 first", returnedId(unexpected.get(0)));
    assertEquals(copy.length(), unexpected.get(0).receivedBytes());
    assertTrue(unexpected.get(0).sinceLastResponse().toMillis() > 0);
  }

  /** The copy could pass for the response to the second request. */
  @ParameterizedTest
  @ValueSource(strings = {"first", "second"})
  void requestIsNotSentOnConnectionWithCopyInTheSameRead(String secondId) throws Exception {
    String copy = response("first", "ok");
    exchange(List.of("first", secondId), false, copy + copy, response(secondId, "ok2"));
    assertEquals(List.of("ok"), results);
    assertEquals(List.of(Kind.AFTER_RESPONSE), kinds());
  }

  @Test
  void statusAndBytesOfTruncatedResponseAreKnown() throws Exception {
    String cut = "HTTP/1.1 503 Busy\r\nId: first\r\nContent-Length: 10\r\n\r\nabc";
    exchange(List.of("first"), true, cut);
    assertEquals(List.of("503 " + cut.length()), results);
    assertEquals(List.of(), kinds());
  }

  @Test
  void statusIsUnknownWithoutHead() throws Exception {
    exchange(List.of("first"), true, "nonsense\r\n\r\n");
    assertEquals(List.of("0 12"), results);
    assertEquals(List.of(), kinds());
  }

  /** The response to an abandoned request is late, but it was asked for. */
  @Test
  void responseToAbandonedRequestIsNotReported() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Void> released = new CompletableFuture<>();
      CompletableFuture<Void> abandoned = new CompletableFuture<>();
      vertx
          .createNetClient()
          .connect(server.getLocalPort(), "127.0.0.1")
          .onSuccess(
              socket -> {
                Requests requests = new Requests((NetSocketInternal) socket, List.of("first"));
                requests.sendNext();
                // The response arrives while the event loop is blocked, before the close.
                vertx.setTimer(
                    SETTLE_MS,
                    id -> {
                      released.complete(null);
                      sleep();
                      requests.connection.abandon();
                      abandoned.complete(null);
                    });
              });
      try (Socket socket = server.accept()) {
        assertTrue(socket.getInputStream().read(new byte[4_096]) > 0);
        released.get(TIMEOUT_S, TimeUnit.SECONDS);
        writeIfOpen(socket, response("first", "ok"));
        abandoned.get(TIMEOUT_S, TimeUnit.SECONDS);
        Thread.sleep(SETTLE_MS);
      }
    }
    assertEquals(List.of(), results);
    assertEquals(List.of(), kinds());
  }

  private static void sleep() {
    try {
      Thread.sleep(SETTLE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void decodingOfHeadReadsNothing() {
    ByteBuf bytes =
        Unpooled.copiedBuffer(response("first", "x".repeat(20_000)), StandardCharsets.ISO_8859_1);
    final int length = bytes.readableBytes();
    ResponseHead head = ResponseHead.decode(bytes);
    assertNotNull(head);
    assertEquals(200, head.status());
    assertEquals("first", HttpMessage.header(head.headers(), "Id"));
    assertEquals(length, bytes.readableBytes());
    assertEquals(1, bytes.refCnt());
    bytes.release();
  }
}
