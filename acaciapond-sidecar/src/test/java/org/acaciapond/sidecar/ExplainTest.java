package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against explanations that name another target than the one that gets the request. */
class ExplainTest extends MeshTest {

  private static final String KEY = "key-31b7";
  private static final String ACCOUNTS =
      ",\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\"],"
          + "\"rows\":[[\"acme\",[\"key-31b7\"],1]]}}";

  private TestMachine caller;
  private TestMachine near;
  private TestMachine far;

  private void startMesh() throws InterruptedException {
    putStateWithLoopbackHost();
    caller = deployment.startMachine("caller", "z", "other");
    near = deployment.startMachine("near", "z", "orders");
    far = deployment.startMachine("far", "y", "orders");
    TestMachine[] mesh = {caller, near, far};
    for (TestMachine each : mesh) {
      awaitCondition("each node serves", () -> checkInAndGet(mesh, each) == 200);
    }
    // One target suffices to serve, so the check-in of the other may still be missing.
    awaitCondition("both targets are known", () -> checkInAndCountReady(mesh) == 2);
    String state = STATE.formatted(3, "").replace("\"a\"", "\"127.0.0.1\"").stripTrailing();
    deployment.store.put("op", "config", state.substring(0, state.length() - 1) + ACCOUNTS);
    awaitCondition(
        "the key is needed", () -> explain("").getString("verdict").equals("UNAUTHORIZED"));
  }

  private long checkInAndCountReady(TestMachine[] mesh) {
    checkInAndGet(mesh, caller);
    return service(explain("")).getJsonArray("candidates").stream()
        .filter(each -> ((JsonObject) each).getString("phase").equals("READY"))
        .count();
  }

  private HttpResponse<String> get(int port, String path, String key) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("X-Attempt-Id", nextId());
    if (!key.isEmpty()) {
      request.header("Authorization", "Bearer " + key);
    }
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private JsonObject explain(String key) {
    String question = "/explain?host=127.0.0.1&path=%2Fviews%2F1&method=GET";
    HttpResponse<String> response = get(caller.settings.metrics().port(), question, key);
    assertEquals(200, response.statusCode());
    assertFalse(response.body().contains(KEY));
    return new JsonObject(response.body());
  }

  private static JsonObject service(JsonObject explanation) {
    return explanation.getJsonArray("services").getJsonObject(0);
  }

  private List<String> requestCounts() {
    return get(caller.settings.metrics().port(), "/metrics", "")
        .body()
        .lines()
        .filter(line -> line.startsWith("acaciapond_requests_total"))
        .toList();
  }

  @Test
  void explainedTargetGetsTheRequest() throws InterruptedException {
    startMesh();
    final List<String> counts = requestCounts();
    final int nearRuns = near.target.runs();
    final int farRuns = far.target.runs();
    for (int i = 0; i < 5; i++) {
      assertEquals("near", service(explain(KEY)).getString("chosen"));
      assertEquals("acme", explain(KEY).getString("account"));
    }
    assertFalse(counts.isEmpty());
    assertEquals(counts, requestCounts());
    assertEquals(nearRuns, near.target.runs());
    for (int i = 0; i < 5; i++) {
      assertEquals(200, get(caller.settings.outbound().port(), "/views/1", KEY).statusCode());
    }
    assertEquals(nearRuns + 5, near.target.runs());
    assertEquals(farRuns, far.target.runs());

    near.checkIn(true);
    awaitCondition("drained", () -> "far".equals(service(explain(KEY)).getString("chosen")));
    assertEquals(200, get(caller.settings.outbound().port(), "/views/1", KEY).statusCode());
    assertEquals(farRuns + 1, far.target.runs());
    for (TestMachine each : deployment.machines()) {
      String log = each.drainLog();
      assertTrue(log.contains("\"event\":\"start\""));
      assertFalse(log.contains(KEY));
    }
  }

  @Test
  void allProblemsOfQuestionAreReported() {
    caller = deployment.startMachine("caller", "z", "other");
    int port = caller.settings.metrics().port();
    HttpResponse<String> response = get(port, "/explain?path=views", "");
    assertEquals(400, response.statusCode());
    assertEquals(2, new JsonObject(response.body()).getJsonArray("problems").size());
  }
}
