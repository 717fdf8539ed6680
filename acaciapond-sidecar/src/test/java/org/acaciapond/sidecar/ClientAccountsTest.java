package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.acaciapond.http.HttpExchange;
import org.junit.jupiter.api.Test;

/** Integration tests of client accounts over whole nodes. */
class ClientAccountsTest extends MeshTest {

  private static final String ACCOUNTS =
      """
      ,"tenants":{"columns":["name","api_keys","priority"],"rows":[%s]}}
      """;
  private static final String STATE_WITH_ACCOUNTS =
      STATE
          .replace("\"a\"", "\"127.0.0.1\"")
          .replace("\"max_attempts\"]", "\"max_attempts\",\"public\"]")
          .replace(
              "\"orders\",3]%s",
              "\"orders\",3],[\"r3\",\"127.0.0.1\",\"/open/\","
                  + "\"idempotent\",8000,4000,2,\"orders\",3,true]%s");

  // Route of a service without targets.
  private static final String OTHER_ROUTE =
      ",[\"r4\",\"127.0.0.1\",\"/other/\",\"idempotent\",8000,4000,1,\"other\",3]";

  private final CopyOnWriteArrayList<HttpExchange> arrived = new CopyOnWriteArrayList<>();

  private void putAccounts(int version, String rows) {
    String state = STATE_WITH_ACCOUNTS.formatted(version, OTHER_ROUTE).stripTrailing();
    deployment.store.put(
        "op", "config", state.substring(0, state.length() - 1) + ACCOUNTS.formatted(rows));
  }

  private TestMachine[] startMesh() throws InterruptedException {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setResponseFunction(
        exchange -> {
          arrived.add(exchange);
          return mesh[1].target.signedResponse(
              String.valueOf(exchange.header("X-Attempt-Id")), "ran");
        });
    putAccounts(3, "[\"acme\",[\"key-1\",\"key-2\"],1],[\"other\",[\"key-3\"],null]");
    awaitCondition("the key is needed", () -> status(mesh[0], "/views/1") == 401);
    arrived.clear();
    return mesh;
  }

  private HttpResponse<String> sendWith(TestMachine from, String path, String... headers)
      throws Exception {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(request(from, "GET", path, nextId()), (name, value) -> true);
    for (int i = 0; i < headers.length; i += 2) {
      builder.header(headers[i], headers[i + 1]);
    }
    return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void targetReceivesNameOfAccountAndNeverTheKey() throws Exception {
    TestMachine[] mesh = startMesh();
    for (TestMachine from : mesh) {
      HttpResponse<String> response =
          sendWith(from, "/views/1", "Authorization", "Bearer key-2", "X-Tenant", "other");
      assertEquals(200, response.statusCode());
    }
    assertEquals(mesh.length, arrived.size());
    for (HttpExchange exchange : arrived) {
      assertEquals("acme", exchange.header("X-Tenant"));
      assertEquals(
          List.of(), exchange.headers().stream().filter(text -> text.contains("key-2")).toList());
    }
  }

  @Test
  void requestWithoutSingleValidKeyIsRejected() throws Exception {
    TestMachine[] mesh = startMesh();
    assertEquals(401, sendWith(mesh[0], "/views/1", "Authorization", "Bearer no").statusCode());
    assertEquals(401, sendWith(mesh[0], "/views/1", "Authorization", "key-1").statusCode());
    assertEquals(401, sendWith(mesh[0], "/views/1", "Authorization", "Basic key-1").statusCode());
    assertEquals(
        401,
        sendWith(mesh[0], "/views/1", "Authorization", "Bearer key-1", "Authorization", "Bearer no")
            .statusCode());
    assertEquals(0, arrived.size());
  }

  @Test
  void openRouteNeedsNoKey() throws Exception {
    TestMachine[] mesh = startMesh();
    assertEquals(200, sendWith(mesh[0], "/open/1", "X-Tenant", "acme").statusCode());
    assertEquals(200, sendWith(mesh[0], "/open/1", "Authorization", "Bearer no").statusCode());
    for (HttpExchange exchange : arrived) {
      assertEquals(null, exchange.header("X-Tenant"));
      assertEquals(null, exchange.header("Authorization"));
    }
  }

  @Test
  void withdrawnKeyIsRejected() throws Exception {
    TestMachine[] mesh = startMesh();
    putAccounts(4, "[\"acme\",[\"key-2\"],1]");
    awaitCondition("the key is withdrawn", () -> statusWithKey(mesh[0], "key-1") == 401);
    assertEquals(200, statusWithKey(mesh[0], "key-2"));
  }

  // A target may make calls for a request that has ended meanwhile, also at a node that was
  // restarted. They need no key, so that a rejection for it would not be true.
  @Test
  void callOfEndedRequestIsRefusedAndNotRejected() throws Exception {
    TestMachine[] mesh = startMesh();
    assertEquals(503, send(mesh[0], "GET", "/views/1", "ended.1").statusCode());
    HttpRequest withInvalidKey =
        HttpRequest.newBuilder(
                request(mesh[0], "GET", "/views/1", "ended.2"), (name, value) -> true)
            .header("Authorization", "Bearer no")
            .build();
    assertEquals(
        401, client.send(withInvalidKey, HttpResponse.BodyHandlers.discarding()).statusCode());
    assertEquals(0, arrived.size());
  }

  // The call is refused as its service has no targets, which tells when to return.
  @Test
  void callOfRunningRequestNeedsNoKey() throws Exception {
    TestMachine[] mesh = startMesh();
    List<HttpResponse<String>> responses = new CopyOnWriteArrayList<>();
    mesh[1].target.setResponseFunction(
        exchange -> {
          String id = String.valueOf(exchange.header("X-Attempt-Id"));
          responses.add(send(mesh[1], "GET", "/other/1", id + ".1"));
          return mesh[1].target.signedResponse(id, "ran");
        });
    assertEquals(200, statusWithKey(mesh[0], "key-1"));
    assertEquals(1, responses.size());
    assertEquals(503, responses.get(0).statusCode());
    assertTrue(responses.get(0).headers().firstValue("Retry-After").isPresent());
  }

  private int statusWithKey(TestMachine from, String key) {
    try {
      return sendWith(from, "/views/1", "Authorization", "Bearer " + key).statusCode();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
