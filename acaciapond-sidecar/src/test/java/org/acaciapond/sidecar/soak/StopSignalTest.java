package org.acaciapond.sidecar.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StandInTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the signals that a node process receives, alone and in series. */
class StopSignalTest {

  private static final Duration WAIT = Duration.ofSeconds(20);
  private static final int PROCESSING_MS = 1_500;
  private static final int SIGNAL_INTERVAL_MS = 300;
  private static final int SLOTS = 4;
  private static final String STATE =
      """
      {"version":1,
       "routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",
         "priority","service","max_attempts"],
        "rows":[["r1","127.0.0.1","/orders/","non_idempotent",5000,2000,1,"orders",1]]},
       "services":{"columns":["name","health_check_path","max_connections"],
        "rows":[["orders","/health",100]]},
       "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
      """;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final StandInStore store = new StandInStore(vertx, "127.0.0.1", 0, TimeSource.system());
  private final StandInTarget target =
      new StandInTarget(vertx, "i-1", "orders", "127.0.0.1", 0, TimeSource.system());
  private final SoakNode node;
  private long sequence;

  StopSignalTest(@TempDir Path directory) {
    store.start().await().atMost(WAIT);
    store.put("op", "config", STATE);
    target.start().await().atMost(WAIT);
    node = new SoakNode(directory, "n1", "z", "orders", target.port(), store.port());
  }

  @AfterEach
  void stop() {
    node.kill();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private CompletableFuture<HttpResponse<String>> order(String id) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.outboundPort + "/orders/1"))
            .POST(HttpRequest.BodyPublishers.noBody())
            .header("X-Attempt-Id", id)
            .header("X-Timeout-Ms", "5000")
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private boolean serves(String id) throws InterruptedException {
    sequence++;
    target.checkIn("127.0.0.1", node.controlPort, "v1", SLOTS, false, sequence);
    try {
      return order(id).get(WAIT.toSeconds(), TimeUnit.SECONDS).statusCode() == 200;
    } catch (ExecutionException | TimeoutException e) {
      return false;
    }
  }

  private void awaitServing() throws InterruptedException {
    long endNanos = System.nanoTime() + WAIT.toNanos();
    for (int i = 0; !serves("probe-" + i); i++) {
      assertTrue(System.nanoTime() < endNanos, () -> "the node serves\n" + node.lastLines());
      Thread.sleep(100);
    }
  }

  /**
   * Guards against requests in flight that are cut off because a stopping node receives another
   * signal, or because a signal other than SIGTERM asks it to stop.
   */
  @ParameterizedTest
  @ValueSource(strings = {"TERM", "TERM TERM", "TERM TERM TERM", "INT", "INT TERM", "TERM HUP"})
  void requestInFlightIsCompletedWhateverSignalsArrive(String signals) throws Exception {
    node.start();
    awaitServing();
    target.setProcessingMs(PROCESSING_MS);
    CompletableFuture<HttpResponse<String>> response = order("in-flight");
    Thread.sleep(SIGNAL_INTERVAL_MS);
    for (String signal : signals.split(" ")) {
      node.signal(signal);
      Thread.sleep(SIGNAL_INTERVAL_MS);
    }
    assertEquals(200, response.get(WAIT.toSeconds(), TimeUnit.SECONDS).statusCode());
    assertEquals(0, node.awaitExit(), node::lastLines);
  }

  /** Guards against a node that ends when settings change during its start. */
  @Test
  void changeOfSettingsDuringTheStartDoesNotEndTheNode() throws Exception {
    node.startAndSignalBeforeSettings("HUP");
    awaitServing();
  }

  /** Guards against a process that ignores a stop signal because it is still starting. */
  @Test
  void stopSignalDuringTheStartEndsTheNode() throws IOException {
    node.startAndSignalBeforeSettings("TERM");
    assertEquals(0, node.awaitExit(), node::lastLines);
  }
}
