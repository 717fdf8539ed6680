package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base of integration tests of whole nodes: a deployment, a client and a service with targets. */
abstract class MeshTest {

  static final Duration WAIT = Duration.ofSeconds(20);
  private static final AtomicLong NEXT_ID = new AtomicLong();
  // All nodes of a test share the loopback address, so the Host header selects the service and not
  // the client.
  static final String STATE =
      """
      {"version":%d,
       "routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",
         "priority","service","max_attempts"],
        "rows":[["r1","a","/views/","idempotent",8000,4000,2,"orders",3],
                ["r2","a","/orders/","non_idempotent",8000,4000,1,"orders",3]%s]},
       "services":{"columns":["name","health_check_path","max_connections"],
        "rows":[["orders","/health",100],["other","/health",100]]},
       "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
      """;

  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  final TestDeployment deployment = new TestDeployment();

  @BeforeEach
  void putState() {
    deployment.store.put("op", "config", STATE.formatted(1, ""));
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  static void awaitCondition(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + WAIT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, what);
      Thread.sleep(20);
    }
  }

  static String nextId() {
    return "c" + NEXT_ID.incrementAndGet();
  }

  HttpRequest request(TestMachine from, String method, String path, String id) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + from.settings.outbound().port() + path))
        .method(method, HttpRequest.BodyPublishers.noBody())
        .header("X-Attempt-Id", id)
        .header("X-Timeout-Ms", "8000")
        .build();
  }

  HttpResponse<String> send(TestMachine from, String method, String path, String id) {
    try {
      return client.send(request(from, method, path, id), HttpResponse.BodyHandlers.ofString());
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  int status(TestMachine from, String path) {
    return send(from, "GET", path, nextId()).statusCode();
  }

  // The JDK's client sends the address as Host header, so the routes must have it as host.
  void putStateWithLoopbackHost() {
    deployment.store.put("op", "config", STATE.formatted(2, "").replace("\"a\"", "\"127.0.0.1\""));
  }

  // Targets check in again and again, as a check-in is lost if it arrives before its node listens.
  int checkInAndGet(TestMachine[] mesh, TestMachine from) {
    for (int i = 1; i < mesh.length; i++) {
      mesh[i].checkIn(false);
    }
    return status(from, "/views/1");
  }

  TestMachine[] startOrdersMesh(int targets) throws InterruptedException {
    putStateWithLoopbackHost();
    TestMachine[] mesh = new TestMachine[targets + 1];
    mesh[0] = deployment.startMachine("caller", "other");
    for (int i = 1; i <= targets; i++) {
      mesh[i] = deployment.startMachine("n" + i, "orders");
      mesh[i].checkIn(false);
    }
    awaitCondition("the mesh serves", () -> checkInAndGet(mesh, mesh[0]) == 200);
    for (int i = 1; i <= targets; i++) {
      TestMachine each = mesh[i];
      awaitCondition("each node serves", () -> checkInAndGet(mesh, each) == 200);
    }
    return mesh;
  }
}
