package org.acaciapond.sidecar.peer;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.sidecar.TestDeployment;
import org.acaciapond.sidecar.TestMachine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how nodes pass on the desired state to each other. */
class StateDistributionTest {

  private static final int WAIT_MS = 20_000;
  private static final int ROUTES = 2_400;
  // Two nodes of a failure domain of 25 pass on a change each 0.8 s, and may use a tenth of a link
  // of 10 Mbit/s for it.
  private static final int MAX_BYTES_PER_CHANGE_AND_NODE = 4_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final TestDeployment deployment = new TestDeployment();

  @AfterEach
  void stop() {
    deployment.close();
  }

  private static String state(int version, String addedPrefix) {
    Random random = new Random(7);
    StringBuilder rows = new StringBuilder();
    for (int i = 0; i < ROUTES; i++) {
      String prefix = i == ROUTES / 2 ? addedPrefix : "/" + Long.toString(random.nextLong(), 36);
      rows.append(rows.isEmpty() ? "" : ",")
          .append("[\"r-%d\",\"%s\",\"%s/\",".formatted(i, TestMachine.HOST, prefix))
          .append("\"idempotent\",1200,600,2,\"orders\",3]");
    }
    return """
    {"version":%d,"routes":{"columns":["name","host","path_prefix","kind","timeout_ms",
     "target_latency_ms","priority","service","max_attempts"],"rows":[%s]},
     "services":{"columns":["name","health_check_path","max_connections"],
      "rows":[["orders","/health",100]]},
     "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
      "idle_timeout_ms":15000}}
    """
        .formatted(version, rows);
  }

  private String get(int port, String path) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("X-Attempt-Id", "c")
            .header("X-Timeout-Ms", "1000")
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    return response.statusCode() + "\n" + response.body();
  }

  private void awaitRoute(TestMachine machine, String path) throws Exception {
    long endNanos = System.nanoTime() + WAIT_MS * 1_000_000L;
    // A route that is in force but has no target is refused with 503.
    while (!get(machine.settings.outbound().port(), path).startsWith("503")
        || !get(machine.settings.metrics().port(), "/metrics").contains("peers_connected 2.0")) {
      assertTrue(System.nanoTime() < endNanos, machine.settings.nodeKey() + " serves " + path);
      Thread.sleep(20);
    }
  }

  private double stateBytesSent() throws Exception {
    double bytes = 0;
    for (TestMachine machine : deployment.machines()) {
      String metrics = get(machine.settings.metrics().port(), "/metrics");
      bytes +=
          metrics
              .lines()
              .filter(line -> line.startsWith("acaciapond_state_bytes_sent_total "))
              .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
              .sum();
    }
    return bytes;
  }

  /** Guards against relays whose links are saturated because each change sends the whole state. */
  @Test
  void changeOfOneRouteCostsFewBytesPerNode() throws Exception {
    deployment.store.put("op", "config", state(1, "/first"));
    for (int i = 1; i <= 3; i++) {
      deployment.startMachine("n" + i, "orders");
    }
    for (TestMachine machine : deployment.machines()) {
      awaitRoute(machine, "/first/x");
    }

    double bytes = 0;
    // At first, the third node still waits for a response of the store.
    for (int version = 2; bytes == 0 && version < 50; version++) {
      final double bytesBefore = stateBytesSent();
      deployment.store.put("op", "config", state(version, "/next" + version));
      for (TestMachine machine : deployment.machines()) {
        awaitRoute(machine, "/next" + version + "/x");
      }
      bytes = stateBytesSent() - bytesBefore;
    }

    assertTrue(bytes > 0, "no node received a change from a peer");
    assertTrue(bytes <= 2 * MAX_BYTES_PER_CHANGE_AND_NODE, bytes + " bytes");
  }

  private static PeerMessage.StateRow row(long rowVersion, int version) {
    byte[] value = state(version, "/x").getBytes(StandardCharsets.UTF_8);
    return new PeerMessage.StateRow("config", new StoreVersion(1, rowVersion), value);
  }

  /** Guards against a node that stays behind if a version is announced during a request. */
  @Test
  void versionAnnouncedDuringRequestIsRequestedAfterTheResponse() throws Exception {
    deployment.store.put("op", "config", state(1, "/first"));
    TestPeer peer = new TestPeer(deployment.vertx);
    final int port = peer.listen();
    TestMachine machine = deployment.startMachine("n1", "orders");
    NodeRecord self = new NodeRecord("n2", TestMachine.HOST, port, "z", "orders", 1);
    TestPeer introduction = new TestPeer(deployment.vertx);
    introduction.connect(machine.settings.peer().port());
    introduction.send(new PeerMessage.Hello(self, -1, false, 0, false, false, false, null));

    peer.send(new PeerMessage.Hello(self, 1_000, false, 0, false, false, false, null));
    assertNotNull(peer.await(PeerMessage.StateRequest.class, WAIT_MS));
    TargetStatus status =
        new TargetStatus("", 0, "orders", "", TargetPhase.UNKNOWN, 0, 0, false, 1);
    peer.send(new PeerMessage.Status(status, TargetLoad.NONE, 1_001, true, null));
    // The announcement is handled before the response to the first request.
    Thread.sleep(200);
    peer.send(new PeerMessage.StateRows(List.of(row(1_000, 5))));

    assertNotNull(peer.await(PeerMessage.StateRequest.class, 5_000));
  }
}
