package org.acaciapond.node.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.acaciapond.common.settings.SettingsLoader;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.node.NodeProcess;
import org.acaciapond.node.NodeSettings;
import org.acaciapond.platform.PlatformServer;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PublishResult;

/**
 * Mesh of nodes and a platform stand-in over loopback; each node has its own Vert.x instance, which
 * can be closed to simulate a crash.
 */
final class TestMesh implements AutoCloseable {

  /** Fails a test that hangs; not a bound on the duration of any operation. */
  private static final long TEST_TIMEOUT_MS = 60_000;

  private static final String IP = "127.0.0.1";

  private final Vertx platformVertx = Vertx.vertx();
  private final Vertx linkVertx = Vertx.vertx();
  private final PlatformServer platform = new PlatformServer(platformVertx, IP, 0);
  private final Map<String, NodeProcess> nodes = new TreeMap<>();
  private final Map<String, Vertx> vertxByNode = new TreeMap<>();
  private final Map<String, Long> highestSequences = new ConcurrentHashMap<>();
  private volatile String violation = "";

  TestMesh() {
    platform.start().await().indefinitely();
  }

  void startNode(String name, String domain) {
    startNode(name, domain, platform.port());
  }

  /** Starts a node; up to two running nodes are its seeds. */
  void startNode(String name, String domain, int platformPort) {
    JsonArray seeds = new JsonArray();
    nodes.values().stream().limit(2).forEach(n -> seeds.add(n.peerAddress().toString()));
    JsonObject settings =
        new JsonObject()
            .put("host_id", name)
            .put("service", "front")
            .put("failure_domain", domain)
            .put("ip", IP)
            .put("platform", IP + ":" + platformPort)
            .put("drain_delay_ms", 100)
            .put("poll_interval_ms", 100)
            .put("seeds", seeds);
    for (String port : new String[] {"outbound", "inbound", "peer", "admin"}) {
      settings.put(port + "_port", 0);
    }
    Vertx nodeVertx = Vertx.vertx();
    NodeProcess node =
        new NodeProcess(
            nodeVertx,
            SettingsLoader.parse(settings.encode(), NodeSettings.ALL),
            TimeSource.system());
    node.snapshots()
        .addListener(
            snapshot -> {
              long sequence = snapshot.version().sequence();
              if (highestSequences.merge(name, sequence, Math::max) > sequence) {
                violation = "I1: " + name + " went back to " + sequence;
              }
              if (snapshot.service("front") == null || snapshot.service("back") == null) {
                violation = "I2: " + name + " lacks a service at " + sequence;
              }
            });
    node.start().await().indefinitely();
    nodes.put(name, node);
    vertxByNode.put(name, nodeVertx);
  }

  /** Crashes a node: it neither releases its lease nor announces that it leaves. */
  void crash(String name) {
    nodes.remove(name);
    closeVertx(vertxByNode.remove(name));
  }

  private static void closeVertx(Vertx vertx) {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * Opens a TCP link to the platform, which {@link #cutPlatformLink} cuts, and returns its port.
   */
  int openPlatformLink() {
    NetClient client = linkVertx.createNetClient();
    return linkVertx
        .createNetServer()
        .connectHandler(
            socket -> {
              socket.pause();
              client
                  .connect(platform.port(), IP)
                  .onSuccess(
                      platformSocket -> {
                        socket.pipeTo(platformSocket);
                        platformSocket.pipeTo(socket);
                      });
            })
        .listen(0, IP)
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  /** Closes the link and its connections. */
  void cutPlatformLink() {
    closeVertx(linkVertx);
  }

  /** Publishes an edit and returns its sequence. */
  long publish(String frontDependsOn, int timeoutMs) {
    String text =
        """
        {"services":[
          {"name":"front","depends_on":["%s"],"versions":[{"name":"v1"}],"current_version":"v1",
           "routes":[{"path":"/","idempotent":true,"timeout_ms":%d,"max_retries":0}]},
          {"name":"back","versions":[{"name":"v1"}],"current_version":"v1"}]}
        """
            .formatted(frontDependsOn, timeoutMs);
    PublishResult result =
        new ConfigPublisher(
                new HttpPlatformClient(platformVertx, IP, platform.port(), 2_000),
                TimeSource.system())
            .publish(text, "test")
            .await()
            .indefinitely();
    assertEquals(PublishResult.Outcome.ACCEPTED, result.outcome());
    return result.version().sequence();
  }

  void setPlatformFault(String json) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + IP + ":" + platform.port() + "/faults"))
            .PUT(HttpRequest.BodyPublishers.ofString(json))
            .build();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    assertEquals(204, client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
  }

  long activeSequence(String name) {
    return nodes.get(name).snapshots().current().version().sequence();
  }

  /** Waits until a version is active on all running nodes; fails if an invariant was violated. */
  void awaitActivation(long sequence) throws InterruptedException {
    awaitActivationAt("", sequence);
  }

  /** Same as {@link #awaitActivation} for the nodes whose name starts with a prefix. */
  void awaitActivationAt(String prefix, long sequence) throws InterruptedException {
    List<String> names = nodes.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    waitUntil(
        () -> names.stream().allMatch(name -> activeSequence(name) == sequence),
        () -> names.stream().map(n -> n + "=" + activeSequence(n)).toList().toString());
    assertEquals("", violation);
  }

  private static void waitUntil(
      BooleanSupplier condition, java.util.function.Supplier<String> state)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TEST_TIMEOUT_MS * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, state);
      Thread.sleep(20);
    }
  }

  @Override
  public void close() {
    vertxByNode.values().forEach(TestMesh::closeVertx);
    closeVertx(platformVertx);
    closeVertx(linkVertx);
  }
}
