package org.acaciapond.bench.calls;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Platform stand-in, two nodes and a target as processes of their own, ended on closing. */
final class MeshProcesses implements AutoCloseable {

  static final String SERVICE = "back";
  private static final int START_ATTEMPTS = 200;
  private static final long START_PAUSE_MS = 100;

  final int targetPort = freePort();
  final int callerOutboundPort = freePort();
  private final int callerAdminPort = freePort();
  private final int targetAdminPort = freePort();
  private final List<Process> processes = new ArrayList<>();
  private final List<Process> nodes = new ArrayList<>();
  private final Path root = root();
  private final Path directory;
  private final HttpClient client = HttpClient.newHttpClient();

  MeshProcesses() throws Exception {
    directory = Files.createTempDirectory("acaciapond-calls-");
    int platformPort = freePort();
    String platform = "127.0.0.1:" + platformPort;
    start("platform", "bin/acaciapond-platform", "--port", Integer.toString(platformPort));
    waitFor("http://" + platform + "/table");
    int callerPeer = freePort();
    node("caller", "front", callerPeer, 0, callerOutboundPort, callerAdminPort, platform);
    node("target", SERVICE, 0, callerPeer, freePort(), targetAdminPort, platform);
    start("echo", "bin/acaciapond-bench", "calls", "--serve-target", Integer.toString(targetPort));
    waitFor("http://127.0.0.1:" + targetPort + EchoTarget.STATS_PATH);
    waitFor("http://127.0.0.1:" + targetAdminPort + "/live");
    announce();
    apply(platform);
    waitForTarget();
  }

  private static Path root() {
    try {
      Path jar =
          Path.of(MeshProcesses.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      return jar.resolve("../../..").normalize();
    } catch (java.net.URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Process start(String name, String... command) throws IOException {
    Process process =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(name + ".log").toFile())
            .start();
    processes.add(process);
    return process;
  }

  private void node(
      String host, String service, int peer, int seed, int outbound, int admin, String platform)
      throws IOException {
    JsonObject settings =
        new JsonObject()
            .put("host_id", host)
            .put("service", service)
            .put("failure_domain", "a")
            .put("ip", "127.0.0.1")
            .put("outbound_port", outbound)
            .put("inbound_port", freePort())
            .put("peer_port", peer == 0 ? freePort() : peer)
            .put("admin_port", admin)
            .put("platform", platform)
            .put("drain_delay_ms", 0)
            .put("seeds", seed == 0 ? new JsonArray() : new JsonArray().add("127.0.0.1:" + seed));
    Path file = directory.resolve(host + ".json");
    Files.writeString(file, settings.encode());
    nodes.add(start("node-" + host, "bin/acaciapond-node", "--settings", file.toString()));
  }

  private void announce() throws Exception {
    String body = new JsonObject().put("version", "v1").put("port", targetPort).encode();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + targetAdminPort + "/target"))
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    client.send(request, HttpResponse.BodyHandlers.discarding());
  }

  private void apply(String platform) throws Exception {
    Path file = directory.resolve("mesh.json");
    Files.writeString(file, text().encode());
    Process apply =
        start("apply", "bin/acaciapond", "--platform", platform, "apply", file.toString());
    if (apply.waitFor() != 0) {
      throw new IllegalStateException("apply failed, see " + directory);
    }
  }

  private static JsonObject text() {
    JsonArray versions = new JsonArray().add(new JsonObject().put("name", "v1"));
    JsonArray routes = new JsonArray().add(route("/safe", true)).add(route("/once", false));
    JsonObject limits =
        new JsonObject()
            .put("slots", 64)
            .put("queue", 64)
            .put("connections", 130)
            .put("max_body_bytes", 65_536);
    return new JsonObject()
        .put(
            "services",
            new JsonArray()
                .add(
                    new JsonObject()
                        .put("name", "front")
                        .put("depends_on", new JsonArray().add(SERVICE))
                        .put("versions", versions)
                        .put("current_version", "v1"))
                .add(
                    new JsonObject()
                        .put("name", SERVICE)
                        .put("routes", routes)
                        .put("limits", limits)
                        .put("versions", versions)
                        .put("current_version", "v1")));
  }

  private static JsonObject route(String path, boolean idempotent) {
    return new JsonObject()
        .put("path", path)
        .put("idempotent", idempotent)
        .put("timeout_ms", 5_000)
        .put("max_retries", 1);
  }

  private void waitFor(String url) throws Exception {
    for (int i = 0; i < START_ATTEMPTS; i++) {
      try {
        get(url);
        return;
      } catch (IOException e) {
        Thread.sleep(START_PAUSE_MS);
      }
    }
    throw new IllegalStateException("no answer from " + url + ", see " + directory);
  }

  private void waitForTarget() throws Exception {
    String url = "http://127.0.0.1:" + callerAdminPort + "/status";
    for (int i = 0; i < START_ATTEMPTS; i++) {
      JsonObject services = new JsonObject(get(url)).getJsonObject("services", new JsonObject());
      JsonObject back = services.getJsonObject(SERVICE, new JsonObject());
      if (!back.getJsonObject("targets", new JsonObject()).isEmpty()) {
        return;
      }
      Thread.sleep(START_PAUSE_MS);
    }
    throw new IllegalStateException("the target was not announced, see " + directory);
  }

  private String get(String url) throws Exception {
    HttpRequest request = HttpRequest.newBuilder(URI.create(url)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  long duplicates() throws Exception {
    String stats = get("http://127.0.0.1:" + targetPort + EchoTarget.STATS_PATH);
    return new JsonObject(stats).getLong("duplicates");
  }

  /** Returns the resident sizes of the two nodes, as the operating system states them. */
  String residentSizes() throws IOException {
    StringBuilder sizes = new StringBuilder();
    for (Process node : nodes) {
      Path status = Path.of("/proc/" + node.pid() + "/status");
      for (String line : Files.readAllLines(status)) {
        if (line.startsWith("VmRSS")) {
          sizes.append(line.substring("VmRSS:".length()).trim()).append("; ");
        }
      }
    }
    return sizes.toString();
  }

  @Override
  public void close() throws InterruptedException {
    for (int i = processes.size() - 1; i >= 0; i--) {
      processes.get(i).destroy();
    }
    for (Process process : processes) {
      if (!process.waitFor(10, java.util.concurrent.TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    }
  }
}
