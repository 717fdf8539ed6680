package org.acaciapond.node.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a caller that receives the response to an earlier call. The target is a plain
 * socket that sends a response on a connection a second time, whole or cut, just before the
 * response to the next request on that connection.
 */
class RepeatedResponseTest {

  private static final Buffer NO_BODY = Buffer.buffer();
  private static final Pattern EXCHANGE_ID =
      Pattern.compile("(x-acaciapond-exchange-id: [^\r]*\r\n)", Pattern.CASE_INSENSITIVE);

  // One event loop, so that calls in sequence would share a connection.
  private final ProxyFixture mesh = new ProxyFixture(1);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket target;
  private volatile boolean echoes;
  private volatile String prefix = "";
  private volatile UnaryOperator<String> repeat = response -> response;

  @BeforeEach
  void start() throws IOException {
    target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    threads.execute(this::acceptAll);
    mesh.addNode(target.getLocalPort());
  }

  @AfterEach
  void stop() throws IOException {
    mesh.close();
    target.close();
    threads.shutdownNow();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = target.accept();
        connections.incrementAndGet();
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
        String text = prefix + copy + response;
        // Before the response is sent, as the test changes the function when it has arrived.
        copy = repeat.apply(response);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        count = socket.getInputStream().read(buffer);
      }
    } catch (IOException e) {
      // The node has closed the connection.
    }
  }

  /** The body is the path; calls of /safe/fail fail. */
  private String respond(String request) {
    String path = request.split(" ")[1];
    Matcher id = EXCHANGE_ID.matcher(request);
    return "HTTP/1.1 "
        + statusOf(path)
        + "\r\nContent-Type: text/plain\r\n"
        + (echoes && id.find() ? id.group(1) : "")
        + "Content-Length: "
        + path.length()
        + "\r\n\r\n"
        + path;
  }

  private static String statusOf(String path) {
    if (path.startsWith("/safe/status/")) {
      return path.substring("/safe/status/".length()) + " X";
    }
    return path.endsWith("fail") ? "500 Failed" : "200 OK";
  }

  private ProxyFixture.Response call(String path) {
    return mesh.call(HttpMethod.GET, path, NO_BODY);
  }

  private static String text(ProxyFixture.Response response) {
    return response.status() + " " + response.body();
  }

  @Test
  void copyIsNotTheResponseToTheNextCallOfTargetThatDoesNotReturnTheExchangeId() {
    assertEquals("200 /safe/1", text(call("/safe/1")));
    assertEquals("200 /safe/2", text(call("/safe/2")));
    assertEquals("500 /safe/fail", text(call("/safe/fail")));
  }

  @Test
  void copyIsNotTheResponseToTheNextCallOfTargetThatReturnsTheExchangeId() {
    echoes = true;
    int successes = 0;
    for (int i = 0; i < 10; i++) {
      String path = "/safe/" + i;
      ProxyFixture.Response response = call(path);
      if (response.status() == 200) {
        assertEquals(path, response.body().toString());
        successes++;
      }
    }
    assertNotEquals(0, successes);
    assertNotEquals(0, mesh.counters.mismatchedResponses());
  }

  /** Guards against a status that is none of HTTP and reaches the caller as a response. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "101"})
  void responseWithInvalidStatusIsNotForwarded(String status) {
    assertEquals(502, call("/safe/status/" + status).status());
  }

  /** A copy that is cut within its head joins with the head of the next response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: te",
        "HTTP/1.1 200 OK\r\nContent-Ty",
        "HTTP/1.1 200 OK\r\nDate:",
        "HTTP/1.1 200 "
      })
  void failureIsNotTakenForSuccessAfterCutCopy(String cut) {
    echoes = true;
    repeat = response -> "";
    for (int i = 0; i < 3; i++) {
      assertEquals("200 /safe/" + i, text(call("/safe/" + i)));
    }
    repeat = response -> cut;
    assertEquals("200 /safe/4", text(call("/safe/4")));
    assertNotEquals(200, call("/safe/fail").status());
  }

  /** A target may also begin a success on a new connection and then fail. */
  @Test
  void failureBehindCutHeadIsNotTakenForSuccessOfTargetThatDoesNotReturnTheExchangeId() {
    prefix = "HTTP/1.1 200 OK";
    assertNotEquals(200, call("/safe/fail").status());
  }

  /** Connections cost time, so those to a target that returns the exchange id are reused. */
  @Test
  void connectionsToTargetThatReturnsTheExchangeIdAreReused() {
    echoes = true;
    repeat = response -> "";
    for (int i = 0; i < 20; i++) {
      assertEquals("200 /safe/" + i, text(call("/safe/" + i)));
    }
    assertEquals(2, connections.get());
  }
}
