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

class ClientConnectionTest {

  private static final int WAIT_S = 10;

  private final Vertx vertx = Vertx.vertx();

  /** End of one request: an answer, or the text "bad" or "gone". */
  private record End(String result, boolean usable) {}

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Writes the given bytes after one request was read, then closes or resets the connection. */
  private End exchange(String reply, boolean close, boolean reset) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Socket> accepted =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  Socket socket = server.accept();
                  byte[] buffer = new byte[4_096];
                  int read = socket.getInputStream().read(buffer);
                  assertTrue(read > 0);
                  socket.getOutputStream().write(reply.getBytes(StandardCharsets.ISO_8859_1));
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
        return end.get(WAIT_S, TimeUnit.SECONDS);
      } finally {
        accepted.get(WAIT_S, TimeUnit.SECONDS).close();
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
          public void answered(HttpResponse answer) {
            // Bytes behind the answer arrive with it or a moment later.
            vertx.setTimer(
                300,
                id ->
                    end.complete(
                        new End(
                            new String(answer.body(), StandardCharsets.UTF_8),
                            connection.usable(System.nanoTime(), Long.MAX_VALUE))));
          }

          @Override
          public void failed(boolean badAnswer, String message) {
            end.complete(new End(badAnswer ? "bad" : "gone", false));
          }
        });
  }

  private static String answer(String id, String body) {
    return "HTTP/1.1 200 OK\r\nId: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void wholeAnswerLeavesTheConnectionUsable() throws Exception {
    assertEquals(new End("ok", true), exchange(answer("mine", "ok"), false, false));
  }

  @Test
  void lateAnswerToAnEarlierRequestIsSkippedAndTheConnectionIsNotReused() throws Exception {
    String both = answer("other", "stray") + answer("mine", "ok");
    assertEquals(new End("ok", false), exchange(both, false, false));
  }

  @Test
  void bytesBehindTheAnswerEndTheConnection() throws Exception {
    String both = answer("mine", "ok") + answer("mine", "again");
    assertEquals(new End("ok", false), exchange(both, false, false));
  }

  @Test
  void shortBodyIsNoAnswer() throws Exception {
    String cut = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 10\r\n\r\nabc";
    assertEquals("bad", exchange(cut, true, false).result());
  }

  @Test
  void bytesThatAreNoAnswerFailTheRequest() throws Exception {
    assertEquals("bad", exchange("nonsense\r\n\r\n", true, false).result());
  }

  @Test
  void answerWithoutLengthEndsWithItsConnection() throws Exception {
    String open = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nabc";
    End end = exchange(open, true, false);
    assertEquals("abc", end.result());
    assertFalse(end.usable());
  }

  @Test
  void answerWithoutLengthThatIsResetIsNotComplete() throws Exception {
    String open = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nabc";
    assertEquals("bad", exchange(open, false, true).result());
  }

  @Test
  void connectionClosedWithoutAnswerLeavesTheFateOpen() throws Exception {
    assertEquals("gone", exchange("", true, false).result());
  }
}
