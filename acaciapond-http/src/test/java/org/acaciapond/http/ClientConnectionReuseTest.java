package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.vertx.core.Vertx;
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

/**
 * Guards against a connection on which a second request is sent although the server wrote more than
 * the response to the first one. The server is a plain socket, so that the segments are known.
 */
class ClientConnectionReuseTest {

  private static final int TIMEOUT_S = 10;
  private static final int CLIENT_WAIT_MS = 1_000;
  private static final String NOT_REUSED = "not reused";

  private final Vertx vertx = Vertx.vertx();
  private final CompletableFuture<String> second = new CompletableFuture<>();

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static String response(int status, String id, String body) {
    return "HTTP/1.1 "
        + status
        + " Reason\r\nId: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static byte[] bytes(String text) {
    return text.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /**
   * Sends two requests on one connection. The second one is sent as soon as the connection is
   * usable after the first response, from inside the listener as a pool does.
   *
   * @param first bytes that the server writes after the first request
   * @param next bytes that the server writes after the second request
   * @return status and body of the second response, "bad", "gone" or {@link #NOT_REUSED}
   */
  private String secondResult(String first, String next) throws Exception {
    return secondResult(first, next, 0);
  }

  private String secondResult(String first, String next, int pauseMs) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Void> served =
          CompletableFuture.runAsync(() -> serve(server, bytes(first), bytes(next)));
      vertx
          .createNetClient()
          .connect(server.getLocalPort(), "127.0.0.1")
          .onSuccess(socket -> sendFirst((NetSocketInternal) socket, pauseMs));
      try {
        return second.get(TIMEOUT_S, TimeUnit.SECONDS);
      } finally {
        served.get(TIMEOUT_S, TimeUnit.SECONDS);
      }
    }
  }

  private static void serve(ServerSocket server, byte[] first, byte[] next) {
    try (Socket socket = server.accept()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(CLIENT_WAIT_MS);
      byte[] buffer = new byte[4_096];
      if (socket.getInputStream().read(buffer) > 0) {
        socket.getOutputStream().write(first);
      }
      if (socket.getInputStream().read(buffer) > 0) {
        socket.getOutputStream().write(next);
        socket.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      // The client has closed the connection, or keeps it idle.
    }
  }

  private void sendFirst(NetSocketInternal socket, int pauseMs) {
    ClientConnection connection =
        new ClientConnection(socket, 1_000, () -> {}, TimeSource.system());
    connection.send(
        request("one"),
        new ClientConnection.Listener() {
          @Override
          public void responseReceived(HttpResponse response) {
            if (pauseMs > 0) {
              vertx.setTimer(pauseMs, id -> sendSecond(connection));
            } else {
              sendSecond(connection);
            }
          }

          @Override
          public void requestFailed(boolean badResponse, String message) {
            second.complete("first failed: " + message);
          }
        });
  }

  private void sendSecond(ClientConnection connection) {
    if (!connection.isUsable(System.nanoTime(), Long.MAX_VALUE)) {
      second.complete(NOT_REUSED);
      connection.close();
      return;
    }
    connection.send(
        request("two"),
        new ClientConnection.Listener() {
          @Override
          public void responseReceived(HttpResponse response) {
            second.complete(
                response.status() + " " + new String(response.body(), StandardCharsets.UTF_8));
          }

          @Override
          public void requestFailed(boolean badResponse, String message) {
            second.complete(badResponse ? "bad" : "gone");
          }
        });
  }

  private static ClientRequest request(String id) {
    return new ClientRequest(
        "GET",
        "/",
        List.of("Host", "a", "Id", id),
        new byte[0],
        headers -> id.equals(HttpMessage.header(headers, "Id")));
  }

  @Test
  void cleanConnectionIsReused() throws Exception {
    assertEquals(
        "500 failed", secondResult(response(200, "one", "ok"), response(500, "two", "failed")));
  }

  /** The cut copy and the response to the second request together decode as a success. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK~Content-Type: te",
        "HTTP/1.1 200 OK~Date:",
        "HTTP/1.1 200 OK~Date: x~",
        "HTTP/1.1 200 OK~Id: o",
        "HTTP/1.1 200 ",
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK~Id: one~Content-Length: 9~~abc"
      })
  void failureIsNotTakenForSuccessAfterCutCopyInTheSegmentOfTheLastResponse(String cut)
      throws Exception {
    String result = secondResult(response(200, "one", "ok") + cut, response(500, "two", "failed"));
    assertEquals(NOT_REUSED, result);
  }

  /** The same while the connection is idle: the bytes are in the decoder, not in the socket. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK~Content-Type: te", "x"})
  void idleConnectionWithUndecodedBytesIsNotReused(String cut) throws Exception {
    String result =
        secondResult(response(200, "one", "ok") + cut, response(500, "two", "failed"), 200);
    assertEquals(NOT_REUSED, result);
  }

  /** The same for a cut copy that is written late, just before the second response. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK~Content-Type: te",
        "HTTP/1.1 200 OK~Date:",
        "HTTP/1.1 200 "
      })
  void failureIsNotTakenForSuccessAfterLateCutCopy(String cut) throws Exception {
    String result = secondResult(response(200, "one", "ok"), cut + response(500, "two", "failed"));
    assertNotEquals("200 failed", result);
  }

  /** Such bytes came before the server can have read the request. */
  @Test
  void responseThatWasReadBeforeTheRequestWasWrittenIsNotItsResponse() throws Exception {
    String result =
        secondResult(
            response(200, "one", "ok") + response(200, "two", "early"),
            response(500, "two", "failed"));
    assertNotEquals("200 early", result);
  }

  /** A server that closes the connection would lose the next request. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 200 OK~Id: one~Connection: close, x~Content-Length: 0~~",
        "HTTP/1.1 200 OK~Id: one~Connection: x~Connection: close~Content-Length: 0~~",
        "HTTP/1.0 200 OK~Id: one~Content-Length: 0~~"
      })
  void connectionThatTheServerClosesIsNotReused(String first) throws Exception {
    assertEquals(NOT_REUSED, secondResult(first, response(500, "two", "failed")));
  }

  /** A Via header may name the protocol; a response that has one is complete and valid. */
  @Test
  void responseWithProtocolNameInViaHeaderIsValid() throws Exception {
    String next = response(200, "two", "ok2").replace("Id:", "Via: HTTP/1.1 gateway\r\nId:");
    assertEquals("200 ok2", secondResult(response(200, "one", "ok"), next));
  }

  /** Ids of two responses in one head show that two responses were joined. */
  @Test
  void headWithTwoIdsIsNotTheResponse() throws Exception {
    String joined =
        "HTTP/1.1 200 OK~Id: two~Date: HTTP/1.1 500 Reason~Id: two~Content-Length: 6~~failed";
    assertNotEquals("200 failed", secondResult(response(200, "one", "ok"), joined));
  }
}
