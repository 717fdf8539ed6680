package org.acaciapond.sidecar.stutter;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.acaciapond.sidecar.TestDeployment;
import org.acaciapond.sidecar.TestNode;

/** Run with one seed: nodes beside faulty targets, clients of all kinds and the final checks. */
final class StutterRun implements AutoCloseable {

  private static final List<String> SERVICES = List.of("orders", "fonts", "orders", "fonts");
  private static final int SLOTS = 3;
  private static final int CHECK_IN_INTERVAL_MS = 300;
  private static final int PIPELINING_CLIENTS = 3;
  private static final int POOLED_CLIENTS = 4;
  private static final int ORDERING_CLIENTS = 2;
  private static final int MAX_PIPELINED = 4;
  private static final double LEAVING_SHARE = 0.03;
  private static final int MAX_RETRIES = 2;
  private static final int MIN_TIMEOUT_MS = 300;
  private static final int MAX_TIMEOUT_MS = 1_500;
  private static final int CLIENT_PAUSE_MS = 2;
  private static final Duration WAIT = Duration.ofSeconds(20);
  private static final String STATE =
      """
      {"version":1,
       "routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",
         "priority","service","max_attempts"],
        "rows":[["r1","mesh.test","/views/","idempotent",1500,500,2,"orders",3],
                ["r2","mesh.test","/orders/","non_idempotent",1500,500,1,"orders",3],
                ["r3","mesh.test","/fonts/","idempotent",1500,500,2,"fonts",3],
                ["r4","mesh.test","/charges/","non_idempotent",1500,500,1,"fonts",3]]},
       "services":{"columns":["name","health_check_path","max_connections"],
        "rows":[["orders","/health",100],["fonts","/health",100]]},
       "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
      """;

  private static final int REPEATING_CLIENTS = 4;
  private static final int MAX_ABANDON_MS = 20;

  /** Client whose requests are repeated until the run ends. */
  private interface ClientLoop {
    void sendNext(NodeClient client, Random random) throws IOException, InterruptedException;
  }

  private final TargetRuns runs = new TargetRuns();
  private final ResponseCheck check = new ResponseCheck(runs);
  private final TestDeployment deployment = new TestDeployment();
  private final List<StutteringTarget> targets = new ArrayList<>();
  private final List<TestNode> nodes = new ArrayList<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ScheduledExecutorService checkIns = Executors.newScheduledThreadPool(1);
  private final String description;
  private final long seed;
  private final boolean repeatedIds;
  private volatile boolean ending;

  StutterRun(long seed, StutterCase faults) throws IOException {
    this.seed = seed;
    this.repeatedIds = faults.repeatedIds();
    this.description = "seed " + seed + ", " + faults;
    deployment.store.put("op", "config", STATE);
    for (int i = 0; i < SERVICES.size(); i++) {
      TargetSettings settings =
          new TargetSettings(
              "i-" + i,
              SERVICES.get(i),
              SLOTS,
              faults.rate(),
              faults.faults(),
              faults.repeatedIds(),
              seed * SERVICES.size() + i);
      StutteringTarget target = new StutteringTarget(settings, runs, check);
      targets.add(target);
      TestNode node = deployment.startNode("n" + i, SERVICES.get(i), target.port());
      nodes.add(node);
      target.setOutboundPort(node.settings.outbound().port());
    }
    checkIns.scheduleAtFixedRate(this::checkIn, 0, CHECK_IN_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void checkIn() {
    for (int i = 0; i < targets.size(); i++) {
      targets.get(i).checkIn(nodes.get(i).settings.control().port());
    }
  }

  /** Waits until each node serves requests of each service. */
  void awaitServing() throws InterruptedException {
    Random random = new Random(seed);
    for (TestNode node : nodes) {
      for (String path : List.of("/views/probe", "/fonts/probe")) {
        long endNanos = System.nanoTime() + WAIT.toNanos();
        while (!serves(node, path, random)) {
          assertTrue(System.nanoTime() < endNanos, () -> "a node does not serve; " + description);
          Thread.sleep(50);
        }
      }
    }
  }

  private boolean serves(TestNode node, String path, Random random) {
    try (NodeClient client = new NodeClient(node.settings.outbound().port(), check)) {
      return client.send(List.of(request(random, true, path))).get(0) == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static RawRequest request(Random random, boolean idempotent, String path) {
    String id = String.format("%016x", random.nextLong());
    int timeoutMs = MIN_TIMEOUT_MS + random.nextInt(MAX_TIMEOUT_MS - MIN_TIMEOUT_MS);
    return new RawRequest(id, idempotent, path, timeoutMs);
  }

  private static RawRequest read(Random random) {
    return request(random, true, (random.nextInt(3) == 0 ? "/fonts/" : "/views/") + "a?b=c");
  }

  /** Sends requests for the given time and waits until they have ended. */
  void sendRequests(Duration duration) throws InterruptedException {
    for (int i = 0; i < nodes.size(); i++) {
      int port = nodes.get(i).settings.outbound().port();
      start(PIPELINING_CLIENTS, port, 100 * i, StutterRun::sendPipelined);
      start(POOLED_CLIENTS, port, 100 * i + 30, StutterRun::sendWithRetries);
      start(ORDERING_CLIENTS, port, 100 * i + 60, StutterRun::sendOrder);
      if (repeatedIds) {
        start(REPEATING_CLIENTS, port, 100 * i + 90, StutterRun::sendRepeated);
      }
    }
    Thread.sleep(duration.toMillis());
    ending = true;
    threads.shutdown();
    assertTrue(
        threads.awaitTermination(WAIT.toSeconds(), TimeUnit.SECONDS),
        () -> "requests did not end; " + description);
    // Requests that clients have abandoned may still run.
    Thread.sleep(MAX_TIMEOUT_MS);
  }

  private void start(int count, int port, int firstNumber, ClientLoop loop) {
    for (int i = 0; i < count; i++) {
      Random random = new Random(seed * 10_000 + firstNumber + i);
      threads.execute(() -> repeat(port, random, loop));
    }
  }

  private void repeat(int port, Random random, ClientLoop loop) {
    NodeClient client = new NodeClient(port, check);
    while (!ending) {
      try {
        loop.sendNext(client, random);
        Thread.sleep(random.nextInt(CLIENT_PAUSE_MS));
      } catch (IOException e) {
        // The node has closed the connection, which promises nothing.
      } catch (InterruptedException e) {
        return;
      }
    }
    try {
      client.close();
    } catch (IOException e) {
      // The connection has ended already.
    }
  }

  private static void sendPipelined(NodeClient client, Random random)
      throws IOException, InterruptedException {
    List<RawRequest> requests = new ArrayList<>();
    int count = 2 + random.nextInt(MAX_PIPELINED - 1);
    for (int i = 0; i < count; i++) {
      requests.add(read(random));
    }
    if (random.nextDouble() < LEAVING_SHARE) {
      client.sendAndLeave(requests, 0);
    } else {
      client.send(requests);
    }
  }

  private static void sendWithRetries(NodeClient client, Random random)
      throws IOException, InterruptedException {
    for (int i = 0; i <= MAX_RETRIES; i++) {
      if (random.nextDouble() < LEAVING_SHARE) {
        client.sendAndLeave(List.of(read(random)), 0);
        return;
      }
      if (client.send(List.of(read(random))).get(0) == 200) {
        return;
      }
      client.close();
    }
  }

  private static void sendOrder(NodeClient client, Random random) throws IOException {
    client.send(List.of(request(random, false, "/orders/a")));
    client.close();
  }

  // Sends the same request again on a new connection, without its response or after a failure.
  private static void sendRepeated(NodeClient client, Random random)
      throws IOException, InterruptedException {
    RawRequest request = read(random);
    for (int i = 0; i <= MAX_RETRIES; i++) {
      if (random.nextInt(3) == 0) {
        client.sendAndLeave(List.of(request), random.nextInt(MAX_ABANDON_MS));
      } else if (client.send(List.of(request)).get(0) / 100 == 2 && random.nextBoolean()) {
        return;
      }
      client.close();
    }
  }

  /** Prints the counts and fails if a response was wrong. */
  void checkResponses() {
    check.checkRunCounts();
    System.out.println("stutter: " + description + ": " + check.summary());
    assertTrue(
        check.isEmpty(), () -> description + ": " + check.summary() + "\n" + check.details());
    assertTrue(check.successes() > 100, () -> "too few successes; " + check.summary());
  }

  @Override
  public void close() throws IOException, InterruptedException {
    ending = true;
    checkIns.shutdownNow();
    threads.shutdownNow();
    for (StutteringTarget target : targets) {
      target.close();
    }
    deployment.close();
  }
}
