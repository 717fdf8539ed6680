package org.acaciapond.sidecar.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.standin.StandInStore;
import org.acaciapond.standin.StandInTarget;
import org.acaciapond.standin.StoreFault;

/** Run with one seed: a mesh of node processes under load, random faults and the final checks. */
final class SoakRun implements AutoCloseable {

  private static final int NODES = 4;
  private static final int SLOTS = 6;
  private static final int REQUEST_INTERVAL_MS = 15;
  private static final int CHECK_IN_INTERVAL_MS = 300;
  private static final int FAULTS_PER_OLDER_STORE = 6;
  private static final int DRAIN_WAIT_MS = 2_000;
  private static final int DEREGISTRATION_RETRY_MS = 500;
  private static final Duration WAIT = Duration.ofSeconds(60);
  private static final String STATE =
      """
      {"version":%d,
       "routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",
         "priority","service","max_attempts"],
        "rows":[["r1","127.0.0.1","/views/","idempotent",2000,800,2,"orders",3],
                ["r2","127.0.0.1","/orders/","non_idempotent",2000,800,1,"orders",3],
                ["r3","127.0.0.1","/v%d/","idempotent",2000,800,2,"orders",3]]},
       "services":{"columns":["name","health_check_path","max_connections"],
        "rows":[["orders","/health",100]]},
       "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
      """;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final Random random;
  // Separate, so that earlier seeds keep their other faults.
  private final Random storeRandom;
  private final StandInStore store;
  private final List<StandInTarget> targets = new ArrayList<>();
  private final List<FaultProxy> targetProxies = new ArrayList<>();
  private final List<FaultProxy> storeProxies = new ArrayList<>();
  private final List<SoakNode> nodes = new ArrayList<>();
  private final Map<String, Integer> orderStatuses = new ConcurrentHashMap<>();
  private final List<String> wrongResponses = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private final long seed;
  private final CountDownLatch deregistered = new CountDownLatch(1);
  private volatile int deregisteredTarget = -1;
  private volatile long deregistrationSequence;
  private int stateVersion;
  private long sequence;
  private int nextRequestNumber;

  SoakRun(long seed, Path directory) {
    this.seed = seed;
    this.random = new Random(seed);
    this.storeRandom = new Random(~seed);
    TimeSource time = TimeSource.system();
    store = new StandInStore(vertx, "127.0.0.1", 0, time);
    store.start().await().atMost(WAIT);
    putNextState();
    store.takeCopy();
    for (int i = 0; i < NODES; i++) {
      StandInTarget target = new StandInTarget(vertx, "i-" + i, "orders", "127.0.0.1", 0, time);
      target.start().await().atMost(WAIT);
      targets.add(target);
      FaultProxy toTarget = new FaultProxy(vertx, target.port());
      FaultProxy toStore = new FaultProxy(vertx, store.port());
      targetProxies.add(toTarget);
      storeProxies.add(toStore);
      String zone = "z" + i % 2;
      SoakNode node =
          new SoakNode(directory, "n" + i, zone, "orders", toTarget.start(), toStore.start());
      nodes.add(node);
      node.start();
    }
    vertx.setPeriodic(CHECK_IN_INTERVAL_MS, id -> checkIn());
  }

  private void putNextState() {
    stateVersion++;
    store.put("op", "config", STATE.formatted(stateVersion, stateVersion));
  }

  private void checkIn() {
    sequence++;
    for (int i = 0; i < NODES; i++) {
      // Check-ins that the deregistered target sent before may arrive late.
      long number = i == deregisteredTarget ? deregistrationSequence : sequence;
      targets.get(i).checkIn("127.0.0.1", nodes.get(i).controlPort, "v1", SLOTS, false, number);
    }
  }

  /** Waits until each node serves requests with the latest desired state. */
  void awaitServing() throws InterruptedException {
    for (int i = 0; i < NODES; i++) {
      long endNanos = System.nanoTime() + WAIT.toNanos();
      while (!servesLatestState(i)) {
        if (System.nanoTime() > endNanos) {
          fail(
              "node "
                  + i
                  + " does not serve the latest state; "
                  + this
                  + "\n"
                  + nodes.get(i).lastLines());
        }
        restartExitedNodes();
        Thread.sleep(100);
      }
    }
  }

  private boolean servesLatestState(int node) throws InterruptedException {
    String path = "/v" + stateVersion + "/" + nextRequestNumber++;
    try {
      return client
              .send(
                  request(node, "GET", path, "probe-" + nextRequestNumber),
                  HttpResponse.BodyHandlers.ofString())
              .statusCode()
          == 200;
    } catch (java.io.IOException e) {
      return false;
    }
  }

  private HttpRequest request(int node, String method, String path, String id) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + nodes.get(node).outboundPort + path))
        .method(method, HttpRequest.BodyPublishers.noBody())
        .timeout(Duration.ofSeconds(5))
        .header("X-Attempt-Id", id)
        .header("X-Timeout-Ms", "2000")
        .build();
  }

  /** Sends requests and injects faults for the given time, then removes all faults. */
  void injectFaults(Duration duration) throws InterruptedException {
    long endNanos = System.nanoTime() + duration.toNanos();
    long nextFaultNanos = System.nanoTime();
    while (System.nanoTime() < endNanos) {
      send();
      if (System.nanoTime() >= nextFaultNanos) {
        injectFault(random.nextInt(NODES));
        nextFaultNanos = System.nanoTime() + (200 + random.nextInt(600)) * 1_000_000L;
      }
      restartExitedNodes();
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
    store.setFault(StoreFault.NONE);
    targetProxies.forEach(proxy -> proxy.setMode(FaultProxy.Mode.PASS));
    storeProxies.forEach(proxy -> proxy.setMode(FaultProxy.Mode.PASS));
    nodes.forEach(SoakNode::resume);
  }

  private void restartExitedNodes() {
    nodes.stream().filter(node -> !node.isRunning()).forEach(SoakNode::start);
  }

  private void send() {
    boolean isOrder = random.nextBoolean();
    String id = "c" + seed + "-" + nextRequestNumber++;
    String path = (isOrder ? "/orders/" : "/views/") + nextRequestNumber;
    client
        .sendAsync(
            request(random.nextInt(NODES), isOrder ? "POST" : "GET", path, id),
            HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, error) -> {
              int status = response == null ? 0 : response.statusCode();
              if (isOrder) {
                orderStatuses.put(id, status);
              }
              boolean signed =
                  response != null
                      && response.headers().firstValue("X-Server-Signature").isPresent();
              if (status == 200 && !(signed && response.body().equals("ran " + path))) {
                synchronized (wrongResponses) {
                  wrongResponses.add(id + " " + path + ": " + response.body());
                }
              }
            });
  }

  private void injectFault(int index) {
    FaultProxy.Mode mode = FaultProxy.Mode.values()[random.nextInt(5)];
    int kind = random.nextInt(9);
    faults.add(kind + "@" + index + ":" + mode);
    SoakNode node = nodes.get(index);
    switch (kind) {
      case 0 -> node.kill();
      case 1 -> node.terminate();
      case 2 -> node.pause();
      case 3 -> nodes.forEach(SoakNode::resume);
      case 4 -> targetProxies.get(index).setMode(mode);
      case 5 -> storeProxies.get(index).setMode(mode);
      case 6 -> store.setFault(StoreFault.values()[random.nextInt(StoreFault.values().length)]);
      case 7 -> putNextState();
      default -> deregister(index);
    }
    if (storeRandom.nextInt(FAULTS_PER_OLDER_STORE) == 0) {
      restoreOlderStore();
    }
  }

  // The operator writes again what the store has lost. A lost departure could not be told from one
  // that no running node remembers, so the store goes back only before one.
  private void restoreOlderStore() {
    if (deregisteredTarget < 0) {
      faults.add("older store");
      store.restoreCopy();
      store.put("op", "config", STATE.formatted(stateVersion, stateVersion));
      store.takeCopy();
    }
  }

  // At most one target deregisters per run, so that the others can handle the load.
  private void deregister(int index) {
    if (deregisteredTarget < 0) {
      deregistrationSequence = sequence;
      deregisteredTarget = index;
      sendDeregistration();
    }
  }

  private void sendDeregistration() {
    targets
        .get(deregisteredTarget)
        .deregister("127.0.0.1", nodes.get(deregisteredTarget).controlPort)
        .thenAccept(this::recordDeregistration);
  }

  private void recordDeregistration(boolean confirmed) {
    if (confirmed) {
      deregistered.countDown();
    }
  }

  /** Kills all nodes as soon as one of them has confirmed that its target deregistered. */
  void killAllNodesAfterDeregistration() throws InterruptedException {
    deregister(0);
    long endNanos = System.nanoTime() + WAIT.toNanos();
    while (!deregistered.await(DEREGISTRATION_RETRY_MS, TimeUnit.MILLISECONDS)) {
      assertTrue(System.nanoTime() < endNanos, () -> "no confirmation; " + this);
      restartExitedNodes();
      sendDeregistration();
    }
    nodes.forEach(SoakNode::kill);
  }

  /** Checks the guarantees of the mesh against what clients and targets have recorded. */
  void checkGuarantees() throws InterruptedException {
    Thread.sleep(DRAIN_WAIT_MS);
    final int runsBefore = targets.get(deregisteredTarget).runs();
    for (int i = 0; i < 50; i++) {
      send();
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
    // Longer than the timeout of any request.
    Thread.sleep(2_500);
    assertEquals(List.of(), wrongResponses, toString());
    orderStatuses.forEach(
        (id, status) -> {
          int runs = targets.stream().mapToInt(target -> target.runs(id)).sum();
          assertTrue(runs <= 1, "order " + id + " ran " + runs + " times; " + this);
          assertTrue(status != 503 || runs == 0, "order " + id + " was refused but ran; " + this);
        });
    assertEquals(
        runsBefore, targets.get(deregisteredTarget).runs(), "the deregistered target ran; " + this);
    assertTrue(orderStatuses.containsValue(200), "no order was served; " + this);
  }

  @Override
  public void close() {
    nodes.forEach(SoakNode::kill);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Override
  public String toString() {
    return "seed " + seed + ", faults (kind@node:mode) " + faults;
  }
}
