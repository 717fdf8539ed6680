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

/** Nodes over loopback with a stand-in, each on an event loop of its own that can be ended. */
final class TestMesh implements AutoCloseable {

  /** Ends a test that hangs; it is no bound on how fast anything must be. */
  private static final long HANG_MS = 60_000;

  private static final String IP = "127.0.0.1";

  private final Vertx platformVertx = Vertx.vertx();
  private final Vertx linkVertx = Vertx.vertx();
  private final PlatformServer platform = new PlatformServer(platformVertx, IP, 0);
  private final Map<String, NodeProcess> nodes = new TreeMap<>();
  private final Map<String, Vertx> loops = new TreeMap<>();
  private final Map<String, Long> highest = new ConcurrentHashMap<>();
  private volatile String broken = "";

  TestMesh() {
    platform.start().await().indefinitely();
  }

  void startNode(String name, String domain) {
    startNode(name, domain, platform.port());
  }

  /** Starts a node; the first running node, if any, is its seed. */
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
    Vertx loop = Vertx.vertx();
    NodeProcess node =
        new NodeProcess(
            loop, SettingsLoader.parse(settings.encode(), NodeSettings.ALL), TimeSource.system());
    node.snapshots()
        .addListener(
            snapshot -> {
              long sequence = snapshot.version().sequence();
              if (highest.merge(name, sequence, Math::max) > sequence) {
                broken = "I1: " + name + " went back to " + sequence;
              }
              if (snapshot.service("front") == null || snapshot.service("back") == null) {
                broken = "I2: " + name + " lacks a service at " + sequence;
              }
            });
    node.start().await().indefinitely();
    nodes.put(name, node);
    loops.put(name, loop);
  }

  /** Ends a node as a crash does: nothing is released or announced. */
  void crash(String name) {
    nodes.remove(name);
    end(loops.remove(name));
  }

  private static void end(Vertx vertx) {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Returns the port of a link to the platform that {@link #cutLink} ends. */
  int openLink() {
    NetClient client = linkVertx.createNetClient();
    return linkVertx
        .createNetServer()
        .connectHandler(
            socket -> {
              socket.pause();
              client
                  .connect(platform.port(), IP)
                  .onSuccess(
                      other -> {
                        socket.pipeTo(other);
                        other.pipeTo(socket);
                      });
            })
        .listen(0, IP)
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  /** Ends the link and its connections. */
  void cutLink() {
    end(linkVertx);
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

  void setFault(String json) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + IP + ":" + platform.port() + "/faults"))
            .PUT(HttpRequest.BodyPublishers.ofString(json))
            .build();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    assertEquals(204, client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
  }

  long versionOf(String name) {
    return nodes.get(name).snapshots().current().version().sequence();
  }

  /** Waits until all running nodes have a version in force; fails when an invariant broke. */
  void awaitAll(long sequence) throws InterruptedException {
    awaitDomain("", sequence);
  }

  /** Waits likewise for the nodes whose name starts with a prefix. */
  void awaitDomain(String prefix, long sequence) throws InterruptedException {
    List<String> names = nodes.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    awaitThat(
        () -> names.stream().allMatch(name -> versionOf(name) == sequence),
        () -> names.stream().map(n -> n + "=" + versionOf(n)).toList().toString());
    assertEquals("", broken);
  }

  private static void awaitThat(
      BooleanSupplier condition, java.util.function.Supplier<String> state)
      throws InterruptedException {
    long endNanos = System.nanoTime() + HANG_MS * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < endNanos, state);
      Thread.sleep(20);
    }
  }

  @Override
  public void close() {
    loops.values().forEach(TestMesh::end);
    end(platformVertx);
    end(linkVertx);
  }
}
