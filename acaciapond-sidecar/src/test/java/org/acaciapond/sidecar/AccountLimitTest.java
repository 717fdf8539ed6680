package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Integration test of the rate limit of a client account over whole nodes. */
class AccountLimitTest extends MeshTest {

  private static final String ACCOUNTS =
      """
      ,"tenants":{"columns":["name","api_keys","requests_per_s","burst"],"rows":[
      ["small",["key-1"],2,1],["free",["key-2"],0,0]]}}
      """;
  private static final int REQUESTS = 120;
  private static final int MIN_GRANTED = 5;
  // Limit of one window and the largest excess over it.
  private static final double BOUND = (2 * 5 + 1) * 1.1 + 20;

  private final AtomicInteger arrived = new AtomicInteger();

  private HttpResponse<String> send(TestMachine from, String key) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(request(from, "GET", "/views/1", nextId()), (name, value) -> true)
            .header("Authorization", "Bearer " + key)
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private int statusWithKey(TestMachine from, String key) {
    try {
      return send(from, key).statusCode();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  // Guards against nodes that each grant the whole limit, and against refusals that a client could
  // take for a request that may have run.
  @Test
  void limitHoldsOverAllNodes() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setResponseFunction(
        exchange -> {
          arrived.incrementAndGet();
          return mesh[1].target.signedResponse(
              String.valueOf(exchange.header("X-Attempt-Id")), "ran");
        });
    String state = STATE.replace("\"a\"", "\"127.0.0.1\"").formatted(3, "").stripTrailing();
    deployment.store.put("op", "config", state.substring(0, state.length() - 1) + ACCOUNTS);
    awaitCondition("the key is needed", () -> statusWithKey(mesh[0], "none") == 401);
    awaitCondition("there are tokens", () -> statusWithKey(mesh[0], "key-1") == 200);
    arrived.set(0);
    long startNanos = System.nanoTime();
    int granted = 0;
    HttpResponse<String> refusal = null;
    // The limit has room again every half second, however fast the requests are sent.
    for (int i = 0; i < REQUESTS || granted < MIN_GRANTED; i++) {
      HttpResponse<String> response = send(mesh[i % mesh.length], "key-1");
      if (response.statusCode() == 429) {
        refusal = response;
      } else {
        assertEquals(200, response.statusCode());
        granted++;
      }
    }
    double windows = Math.ceil((System.nanoTime() - startNanos) / 5e9);
    assertEquals(granted, arrived.get());
    assertTrue(granted <= BOUND * windows, "granted " + granted);
    assertTrue(refusal != null, "granted all");
    double retryAfterS =
        Double.parseDouble(refusal.headers().firstValue("Retry-After").orElse("0"));
    assertTrue(retryAfterS > 0, "Retry-After " + retryAfterS);
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(200, send(mesh[i % mesh.length], "key-2").statusCode());
    }
  }
}
