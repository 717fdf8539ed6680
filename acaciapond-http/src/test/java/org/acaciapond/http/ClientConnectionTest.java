package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.impl.NetSocketInternal;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ClientConnectionTest {

  private static final int TIMEOUT_S = 10;
  private static final long ENDLESS_BYTES = 256L << 20;

  private final Vertx vertx = Vertx.vertx();

  /** Result of one request: the response body, "bad" or "gone". */
  private record End(String result, boolean usable) {}

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Responds to one request with the given bytes, then optionally closes or resets the connection.
   */
  private End exchange(String responseBytes, boolean close, boolean reset) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Socket> accepted =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  Socket socket = server.accept();
                  byte[] buffer = new byte[4_096];
                  int read = socket.getInputStream().read(buffer);
                  assertTrue(read > 0);
                  socket
                      .getOutputStream()
                      .write(responseBytes.getBytes(StandardCharsets.ISO_8859_1));
                  if (reset) {
                    Thread.sleep(200);
                    socket.setSoLinger(true, 0);
                  }
                  if (close || reset) {
                    socket.close();
                  }
                  return socket;
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      CompletableFuture<End> end = new CompletableFuture<>();
      vertx
          .createNetClient(new NetClientOptions())
          .connect(server.getLocalPort(), "127.0.0.1")
          .onSuccess(socket -> send((NetSocketInternal) socket, end));
      try {
        return end.get(TIMEOUT_S, TimeUnit.SECONDS);
      } finally {
        accepted.get(TIMEOUT_S, TimeUnit.SECONDS).close();
      }
    }
  }

  private void send(NetSocketInternal socket, CompletableFuture<End> end) {
    ClientConnection connection =
        new ClientConnection(socket, 1_000, () -> {}, TimeSource.system());
    connection.send(
        new ClientRequest(
            "GET",
            "/",
            List.of("Host", "a"),
            new byte[0],
            headers -> "mine".equals(HttpMessage.header(headers, "Id"))),
        new ClientConnection.Listener() {
          @Override
          public void responseReceived(HttpResponse response) {
            // Bytes after the response may arrive with it or shortly afterwards.
            vertx.setTimer(
                300,
                id ->
                    end.complete(
                        new End(
                            new String(response.body(), StandardCharsets.UTF_8),
                            connection.isUsable(System.nanoTime(), Long.MAX_VALUE))));
          }

          @Override
          public void requestFailed(boolean badResponse, String message) {
            end.complete(new End(badResponse ? "bad" : "gone", false));
          }
        });
  }

  private static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nId: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void connectionIsUsableAfterCompleteResponse() throws Exception {
    assertEquals(new End("ok", true), exchange(response("mine", "ok"), false, false));
  }

  /** Guards against a status that is none of HTTP and reaches the client as a response. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "600", "999", "1000", "101"})
  void responseWithInvalidStatusIsBad(String status) throws Exception {
    String valid = response("mine", "ok");
    assertEquals(
        new End("bad", false), exchange(valid.replace("200 OK", status + " X"), false, false));
  }

  /** Guards against an informational response that is taken for the final one. */
  @Test
  void informationalResponseAloneIsNoResponse() throws Exception {
    String informational = "HTTP/1.1 103 Early Hints\r\nId: mine\r\n\r\n";
    assertEquals(new End("gone", false), exchange(informational, true, false));
    assertEquals(
        new End("ok", true), exchange(informational + response("mine", "ok"), false, false));
  }

  @Test
  void lateResponseIsSkippedAndConnectionNotReused() throws Exception {
    String both = response("other", "stray") + response("mine", "ok");
    assertEquals(new End("ok", false), exchange(both, false, false));
  }

  @Test
  void bytesAfterResponseMakeConnectionUnusable() throws Exception {
    String both = response("mine", "ok") + response("mine", "again");
    assertEquals(new End("ok", false), exchange(both, false, false));
  }

  /** Guards against a next response whose start is what followed the response before it. */
  @ParameterizedTest
  @ValueSource(strings = {"H", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "nonsense", "\r\n"})
  void partOfResponseAfterResponseMakesConnectionUnusable(String part) throws Exception {
    assertEquals(new End("ok", false), exchange(response("mine", "ok") + part, false, false));
  }

  /** A success that is cut in its head must not receive the rest of the failure that follows it. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK~Date: x", "HTTP/1.1 200 OK~"})
  void failureBehindCutHeadOnNewConnectionIsNotTakenForSuccess(String cut) throws Exception {
    String failure = response("mine", "failed").replace("200 OK", "500 Error");
    assertEquals("bad", exchange(cut.replace("~", "\r\n") + failure, true, false).result());
  }

  @Test
  void truncatedBodyIsBadResponse() throws Exception {
    String cut = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 10\r\n\r\nabc";
    assertEquals("bad", exchange(cut, true, false).result());
  }

  @Test
  void bytesThatAreNotHttpAreBadResponse() throws Exception {
    assertEquals("bad", exchange("nonsense\r\n\r\n", true, false).result());
  }

  @Test
  void responseWithoutLengthEndsWhenConnectionCloses() throws Exception {
    String open = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nabc";
    End end = exchange(open, true, false);
    assertEquals("abc", end.result());
    assertFalse(end.usable());
  }

  @Test
  void resetResponseWithoutLengthIsBadResponse() throws Exception {
    String open = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nabc";
    assertEquals("bad", exchange(open, false, true).result());
  }

  /** Only the chunked encoding has an end of its own. */
  @Test
  void resetResponseWithIdentityEncodingIsBadResponse() throws Exception {
    String open = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: identity\r\n\r\nabc";
    assertEquals("bad", exchange(open, false, true).result());
  }

  /** Guards against a request that waits for the end of a response that is not its own. */
  @ParameterizedTest
  @ValueSource(strings = {"no colon here", "Id: other"})
  void responseToOtherRequestWithoutLengthFailsRequestAtOnce(String header) throws Exception {
    String open = "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n";
    assertEquals(new End("bad", false), exchange(open, false, false));
  }

  @Test
  void closeWithoutResponseIsNotBadResponse() throws Exception {
    assertEquals("gone", exchange("", true, false).result());
  }

  /** Sends the start once and then the rest without end; returns the bytes sent until the close. */
  private static long sendEndlessly(ServerSocket server, String start, String rest) {
    byte[] block = rest.repeat(1 + 4_096 / rest.length()).getBytes(StandardCharsets.ISO_8859_1);
    long sent = 0;
    try (Socket socket = server.accept()) {
      assertTrue(socket.getInputStream().read(new byte[4_096]) > 0);
      socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
      while (sent < ENDLESS_BYTES) {
        socket.getOutputStream().write(block);
        sent += block.length;
      }
    } catch (IOException e) {
      return sent;
    }
    return sent;
  }

  /** Guards against a target in trouble whose endless bytes keep a slot or fill the memory. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "head without a line end | '' | x",
        "header lines | HTTP/1.1 200 OK~Id: mine~ | a: b~",
        "empty lines | '' | ~",
        "informational responses | '' | HTTP/1.1 100 Continue~~",
        "chunked body | HTTP/1.1 200 OK~Id: mine~Transfer-Encoding: chunked~~ | 4~abcd~",
        "body without a length | HTTP/1.1 200 OK~Id: mine~~ | abcd",
        "body of another response | HTTP/1.1 200 OK~Id: other~~ | abcd"
      })
  void endlessBytesAreCutOff(String kind, String start, String rest) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Long> sent =
          CompletableFuture.supplyAsync(
              () -> sendEndlessly(server, start.replace("~", "\r\n"), rest.replace("~", "\r\n")));
      CompletableFuture<End> end = new CompletableFuture<>();
      vertx
          .createNetClient(new NetClientOptions())
          .connect(server.getLocalPort(), "127.0.0.1")
          .onSuccess(socket -> send((NetSocketInternal) socket, end));
      assertEquals(new End("bad", false), end.get(TIMEOUT_S, TimeUnit.SECONDS), kind);
      assertTrue(sent.get(TIMEOUT_S, TimeUnit.SECONDS) < ENDLESS_BYTES, kind);
    }
  }

  @Test
  void bodiesOfAllConnectionsShareTheBudget() {
    BodyBudget budget = new BodyBudget(10);
    assertTrue(budget.tryReserve(7));
    assertFalse(budget.tryReserve(4));
    budget.release(7);
    assertTrue(budget.tryReserve(10));
  }
}
