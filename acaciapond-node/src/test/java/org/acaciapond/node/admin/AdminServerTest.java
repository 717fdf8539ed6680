package org.acaciapond.node.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.node.telemetry.NodeMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminServerTest {

  private final Vertx vertx = Vertx.vertx();
  private final LocalTarget target = new LocalTarget();
  private final AdminServer server =
      new AdminServer(
          vertx,
          new SnapshotHolder(Snapshot.empty("front")),
          target,
          0,
          new NodeMetrics(),
          status -> {},
          () -> Optional.of("the relays"));

  @BeforeEach
  void start() {
    server.start().await().indefinitely();
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private HttpResponse<String> send(String method, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** A malformed announcement is a client error and must not change the announced target. */
  @Test
  void malformedAnnouncementsAreRejectedWithErrorCode() throws Exception {
    for (String body :
        List.of(
            "",
            "{",
            "[]",
            "{}",
            "{\"version\":1,\"port\":80}",
            "{\"version\":\"v1\",\"port\":\"80\"}",
            "{\"version\":\"\",\"port\":80}",
            "{\"version\":\"v1\",\"port\":0}",
            "{\"version\":\"v1\",\"port\":65536}",
            "{\"version\":\"v1\",\"port\":80,\"weight\":0}",
            "{\"version\":\"v1\",\"port\":80,\"weight\":null}",
            "{\"version\":\"v1\",\"port\":80,\"leaving\":3}")) {
      HttpResponse<String> response = send("PUT", "/target", body);
      assertEquals(400, response.statusCode(), body);
      assertTrue(response.body().contains("TARGET_ANNOUNCEMENT_INVALID"), body);
    }
    assertNull(target.announcement());
    String validBody = "{\"version\":\"v1\",\"port\":65535}";
    assertEquals(204, send("PUT", "/target", validBody).statusCode());
  }

  /** The response must tell an operator why a node is not ready. */
  @Test
  void notReadyResponseNamesWhatTheNodeWaitsFor() throws Exception {
    HttpResponse<String> response = send("GET", "/ready", "");
    assertEquals(503, response.statusCode());
    assertTrue(response.body().contains("the relays"));
  }
}
