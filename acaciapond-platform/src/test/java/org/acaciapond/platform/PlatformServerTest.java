package org.acaciapond.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import org.acaciapond.common.time.ManualTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformServerTest {

  private static final String OTHER_DIGEST = "0".repeat(64);

  private final Vertx vertx = Vertx.vertx();
  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final PlatformServer server =
      new PlatformServer(vertx, time, "127.0.0.1", 0, new PlatformLimits(10, 20));

  @BeforeEach
  void start() {
    server.start().await().indefinitely();
  }

  @AfterEach
  void stop() {
    server.stop().await().indefinitely();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return client.send(request(path).build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> put(String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request = request(path).PUT(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path));
  }

  private int setFault(String json) throws IOException, InterruptedException {
    return put("/faults", json).statusCode();
  }

  @Test
  void aWriteWithAStaleRevisionIsNotApplied() throws Exception {
    assertEquals(204, put("/table/a", "1", "If-None-Match", "*").statusCode());
    assertEquals(412, put("/table/a", "2", "If-None-Match", "*").statusCode());
    assertEquals(204, put("/table/a", "2", "If-Match", "\"1\"").statusCode());
    assertEquals(412, put("/table/a", "3", "If-Match", "\"1\"").statusCode());
    assertEquals("2", get("/table/a").body());
    assertEquals(2, server.stats().conflicts());
  }

  @Test
  void malformedRequestsGetStatus400AndChangeNothing() throws Exception {
    assertEquals(400, put("/table/a", "1").statusCode());
    assertEquals(400, put("/table/a", "1", "If-Match", "x").statusCode());
    assertEquals(400, put("/table/a", "1", "If-Match", "\"1\"", "If-None-Match", "*").statusCode());
    assertEquals(400, put("/objects/" + OTHER_DIGEST, "content").statusCode());
    assertEquals(400, get("/objects/short").statusCode());
    assertEquals(400, get("/table?prefix=" + "x".repeat(300)).statusCode());
    assertEquals(413, put("/table/a", "x".repeat(70_000), "If-None-Match", "*").statusCode());
    assertEquals(404, get("/table/a").statusCode());
    for (String json : new String[] {"", "[]", "{}", "{\"mode\":\"odd\"}", "{\"mode\":1}"}) {
      assertEquals(400, setFault(json), json);
    }
    assertEquals(400, setFault("{\"mode\":\"slow\",\"probability\":2}"));
  }

  @Test
  void requestsBeyondTheLimitAreRefusedUntilTimePasses() throws Exception {
    for (int i = 0; i < 10; i++) {
      assertEquals(204, put("/table/" + i, "1", "If-None-Match", "*").statusCode());
    }
    HttpResponse<String> refused = put("/table/x", "1", "If-None-Match", "*");
    assertEquals(429, refused.statusCode());
    assertTrue(refused.headers().firstValue("Retry-After").isPresent());
    assertEquals(200, get("/table/0").statusCode());
    assertEquals(1, new JsonObject(get("/stats").body()).getInteger("refused"));
    time.advance(Duration.ofMillis(100));
    assertEquals(204, put("/table/x", "1", "If-None-Match", "*").statusCode());
    assertEquals(429, put("/table/y", "1", "If-None-Match", "*").statusCode());
  }

  @Test
  void faultsOfOneStoreDoNotAffectTheOther() throws Exception {
    assertEquals(204, setFault("{\"store\":\"table\",\"mode\":\"down\"}"));
    assertEquals(503, get("/table/a").statusCode());
    assertEquals(404, get("/objects/" + OTHER_DIGEST).statusCode());
    assertEquals(204, setFault("{\"mode\":\"none\"}"));
    assertEquals(404, get("/table/a").statusCode());
  }

  @Test
  void aWriteWhoseResponseIsLostHasTakenEffect() throws Exception {
    assertEquals(204, setFault("{\"mode\":\"lose-answers\",\"probability\":1,\"seed\":7}"));
    assertThrows(IOException.class, () -> put("/table/a", "1", "If-None-Match", "*"));
    assertEquals(204, setFault("{\"mode\":\"none\"}"));
    assertEquals("1", get("/table/a").body());
  }

  @Test
  void aListContainsOnlyTheRowsWithThePrefix() throws Exception {
    for (String key : new String[] {"a", "lease%2Fx", "lease%2Fy", "m"}) {
      put("/table/" + key, "1", "If-None-Match", "*");
    }
    JsonArray rows = new JsonArray(get("/table?prefix=lease%2F").body());
    assertEquals(2, rows.size());
    assertEquals("lease/x", rows.getJsonObject(0).getString("key"));
  }
}
