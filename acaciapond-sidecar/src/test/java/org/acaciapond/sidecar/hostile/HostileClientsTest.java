package org.acaciapond.sidecar.hostile;

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
import java.util.List;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.sidecar.soak.SoakNode;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StandInTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against node processes that end, hang or outgrow their host because of clients that send
 * or hold as much as they can. The heap is that of a deployed node; the memory of its host is less
 * than that of the smallest deployment, so that a small crowd shows the fault.
 */
class HostileClientsTest {

  private static final int MEMORY_MB = 176;
  private static final int MAX_OPEN_FILES = 512;
  private static final int MAX_OPEN_FILES_IN_USE = 480;
  private static final int LARGE_RESPONSE_BYTES = 6 << 20;
  private static final int SILENT_MS = 600_000;
  private static final int SLOTS = 4;
  private static final int CHECK_IN_INTERVAL_MS = 500;
  private static final Duration WAIT = Duration.ofSeconds(60);
  private static final String STATE =
      """
      {"version":1,
       "routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",
         "priority","service","max_attempts"],
        "rows":[["r1","127.0.0.1","/orders/","idempotent",20000,2000,1,"orders",3],
                ["r2","127.0.0.1","/slow/","idempotent",20000,2000,1,"slow",3],
                ["r3","127.0.0.1","/large/","idempotent",20000,2000,1,"slow",3]]},
       "services":{"columns":["name","health_check_path","max_connections"],
        "rows":[["orders","/health",100],["slow","/health",100]]},
       "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
      """;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final StandInStore store = new StandInStore(vertx, "127.0.0.1", 0, TimeSource.system());
  private final StandInTarget orders =
      new StandInTarget(vertx, "i-1", "orders", "127.0.0.1", 0, TimeSource.system());
  private final StandInTarget slow =
      new StandInTarget(vertx, "i-2", "slow", "127.0.0.1", 0, TimeSource.system());
  private final List<SoakNode> nodes;
  private long sequence;

  HostileClientsTest(@TempDir Path directory) {
    store.start().await().atMost(WAIT);
    store.put("op", "config", STATE);
    orders.start().await().atMost(WAIT);
    slow.start().await().atMost(WAIT);
    nodes =
        List.of(
            new SoakNode(directory, "n1", "z", "orders", orders.port(), store.port(), MEMORY_MB),
            new SoakNode(directory, "n2", "z", "slow", slow.port(), store.port(), MEMORY_MB));
  }

  @AfterEach
  void stop() {
    nodes.forEach(SoakNode::kill);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void endlessTrailers() throws Exception {
    play(Crowd.endlessTrailers());
  }

  @Test
  void largeBodies() throws Exception {
    play(Crowd.largeBodies());
  }

  @Test
  void largeBodiesInPieces() throws Exception {
    play(Crowd.largeBodiesInPieces());
  }

  @Test
  void largeChunks() throws Exception {
    play(Crowd.largeChunks());
  }

  @Test
  void smallChunks() throws Exception {
    play(Crowd.smallChunks());
  }

  @Test
  void largeBodiesToSlowTarget() throws Exception {
    slow.setProcessingMs(SILENT_MS);
    play(Crowd.largeBodiesToSlowTarget());
  }

  @Test
  void pipelinedBodies() throws Exception {
    slow.setProcessingMs(SILENT_MS);
    play(Crowd.pipelinedBodies());
  }

  @Test
  void manyHeaders() throws Exception {
    slow.setProcessingMs(SILENT_MS);
    play(Crowd.manyHeaders());
  }

  @Tag("known-red")
  @Test
  void incompleteHeads() throws Exception {
    play(Crowd.incompleteHeads());
  }

  @Test
  void slowReaders() throws Exception {
    String body = "x".repeat(LARGE_RESPONSE_BYTES);
    slow.setResponseFunction(
        exchange -> slow.signedResponse(String.valueOf(exchange.header("X-Attempt-Id")), body));
    play(Crowd.slowReaders());
  }

  @Test
  void manyConnections() throws Exception {
    play(Crowd.manyConnections());
  }

  private void play(Crowd crowd) throws Exception {
    nodes.forEach(node -> node.startObserved(MAX_OPEN_FILES));
    vertx.setPeriodic(CHECK_IN_INTERVAL_MS, id -> checkIn());
    for (SoakNode node : nodes) {
      awaitServing(node);
    }
    SoakNode attacked = nodes.get(0);
    try (CrowdClients clients = new CrowdClients(crowd, attacked.outboundPort())) {
      clients.sendAll();
      for (SoakNode node : nodes) {
        System.out.println(node.usage());
      }
      for (SoakNode node : nodes) {
        assertTrue(node.isRunning(), () -> "the process lives\n" + node.lastLines());
        assertTrue(node.peakResidentKb() + node.unreadKb() <= MEMORY_MB << 10, node::usage);
        assertEquals(List.of(), node.memoryErrors(), node::usage);
        assertTrue(node.openFiles() <= MAX_OPEN_FILES_IN_USE, node::usage);
        assertEquals(200, statusOfOrdinaryRequest(node), node::lastLines);
      }
    }
  }

  private void checkIn() {
    sequence++;
    orders.checkIn("127.0.0.1", nodes.get(0).controlPort(), "v1", SLOTS, false, sequence);
    slow.checkIn("127.0.0.1", nodes.get(1).controlPort(), "v1", SLOTS, false, sequence);
  }

  private void awaitServing(SoakNode node) throws Exception {
    long endNanos = System.nanoTime() + WAIT.toNanos();
    while (statusOfOrdinaryRequest(node) != 200) {
      assertTrue(System.nanoTime() < endNanos, () -> "the node serves\n" + node.lastLines());
      Thread.sleep(100);
    }
  }

  // 0 if the request was not answered.
  private int statusOfOrdinaryRequest(SoakNode node) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.outboundPort() + "/orders/2"))
            .header("X-Attempt-Id", "ordinary-" + System.nanoTime())
            .timeout(WAIT)
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }
}
