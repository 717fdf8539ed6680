package org.acaciapond.platform.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a copy of an earlier response that is taken for the response to the next request.
 * The platform is a plain socket that sends each response on a connection a second time, just
 * before the response to the next request on that connection.
 */
class RepeatedResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int ATTEMPT_TIMEOUT_MS = 5_000;
  private static final String WRITTEN = "204 No Content\r\nETag: \"2\"";
  private static final byte[] VALUE = {1};

  private final Vertx vertx = Vertx.vertx();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket server;
  private HttpPlatformClient client;
  private volatile String writeHead = WRITTEN;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    threads.execute(this::acceptAll);
    client = new HttpPlatformClient(vertx, "127.0.0.1", server.getLocalPort(), ATTEMPT_TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    server.close();
    threads.shutdownNow();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = server.accept();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      byte[] buffer = new byte[8_192];
      String copy = "";
      int count = socket.getInputStream().read(buffer);
      while (count > 0) {
        String response = respond(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write((copy + response).getBytes(StandardCharsets.ISO_8859_1));
        copy = response;
        count = socket.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  /** The value of a row is its path. */
  private String respond(String request) {
    if (request.startsWith("PUT")) {
      return "HTTP/1.1 " + writeHead + "\r\n\r\n";
    }
    String path = request.split(" ")[1];
    return "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
  }

  private static <T> T await(Uni<T> call) {
    return call.await().atMost(TIMEOUT);
  }

  private byte[] readRow(String key) {
    return await(client.readRow(key)).orElseThrow().value();
  }

  @Test
  void writeIsNotConfirmedByTheCopyOfTheResponseToAnotherWrite() {
    assertEquals(WriteResult.Outcome.APPLIED, await(client.writeRow("head", 1, VALUE)).outcome());
    writeHead = "412 Precondition Failed\r\nContent-Length: 0";

    assertEquals(
        WriteResult.Outcome.NOT_APPLIED, await(client.writeRow("head", 1, VALUE)).outcome());
  }

  /** Guards against a write that is taken for applied or not though its status is invalid. */
  @ParameterizedTest
  @ValueSource(strings = {"000 X", "600 X"})
  void outcomeOfWriteWithInvalidStatusIsUnknown(String status) {
    writeHead = status + "\r\nContent-Length: 0";
    assertEquals(WriteResult.Outcome.UNKNOWN, await(client.writeRow("head", 1, VALUE)).outcome());
  }

  @Test
  void objectIsNotConfirmedByTheCopyOfTheResponseToAnotherObject() {
    writeHead = "201 Created\r\nContent-Length: 0";
    await(client.writeObject(new byte[] {1}));
    writeHead = "400 Bad Request\r\nContent-Length: 0";

    assertThrows(PlatformException.class, () -> await(client.writeObject(new byte[] {2})));
  }

  @Test
  void rowIsNotReadFromTheCopyOfTheResponseForAnotherRow() {
    readRow("head");

    byte[] expected = "/table/lease".getBytes(StandardCharsets.UTF_8);
    assertArrayEquals(expected, readRow("lease"));
  }
}
