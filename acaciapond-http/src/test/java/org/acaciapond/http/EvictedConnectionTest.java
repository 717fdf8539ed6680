package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against memory that stays reserved when a connection is the one that is ended to make room
 * for its own next request.
 */
class EvictedConnectionTest {

  private static final int TIMEOUT_S = 10;
  private static final int POLL_MS = 20;
  private static final int LIMIT_BYTES = 48 << 20;
  private static final int RESPONSE_BYTES = 32 << 20;
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
  private static final int CHECK_INTERVAL_MS = 250;
  private static final int CHECKS = 3;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final BlockingQueue<HttpExchange> requests = new LinkedBlockingQueue<>();
  private final MemoryAccount memory = new MemoryAccount(LIMIT_BYTES);
  private HttpListener listener;

  @BeforeEach
  void start() {
    listener =
        new HttpListener(
            vertx,
            "127.0.0.1",
            0,
            () -> new ServerLimits(16_384, 1 << 20, 60_000, 60_000),
            new ListenerResources(memory, 100),
            requests::add,
            HttpListener.Events.NONE,
            TimeSource.system());
    listener.start().await().atMost(Duration.ofSeconds(TIMEOUT_S));
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private <T> T onEventLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    vertx.runOnContext(on -> result.complete(action.get()));
    return result.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private void await(BooleanSupplier condition) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!onEventLoop(condition::getAsBoolean) && System.nanoTime() < endNanos) {
      Thread.sleep(POLL_MS);
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress("127.0.0.1", listener.port()));
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  // Leaves the connection with a response that its client does not read, and without progress.
  private void requestWithoutReading(Socket socket) throws Exception {
    send(socket, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    HttpExchange exchange = requests.poll(TIMEOUT_S, TimeUnit.SECONDS);
    onEventLoop(
        () -> {
          exchange.respond(new HttpResponse(200, List.of(), new byte[RESPONSE_BYTES]));
          return true;
        });
    CompletableFuture<Void> checked = new CompletableFuture<>();
    int[] checks = {0};
    vertx.setPeriodic(
        CHECK_INTERVAL_MS,
        id -> {
          if (++checks[0] > CHECKS) {
            checked.complete(null);
          }
        });
    checked.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @CsvSource({
    "0, 'GET /b HTTP/1.1~Host: a~~'",
    "0, 'GET /b HTTP/1.1~Host:'",
    "8000, 'POST /b HTTP/1.1~Host: a~Content-Length: 60000~~'",
    "8000, 'POST /b HTTP/1.1~Host: a~Transfer-Encoding: chunked~~4e20~BODY'"
  })
  void nothingStaysReservedForClosedConnection(int freeBytes, String next) throws Exception {
    try (Socket socket = connect()) {
      requestWithoutReading(socket);
      long others =
          onEventLoop(
              () -> {
                long bytes = LIMIT_BYTES - memory.usedBytes() - freeBytes;
                memory.add(bytes);
                return bytes;
              });
      send(socket, next.replace("~", "\r\n").replace("BODY", "x".repeat(20_000)));
      await(() -> memory.usedBytes() <= others);
      assertEquals(others, onEventLoop(memory::usedBytes));
    }
  }
}
