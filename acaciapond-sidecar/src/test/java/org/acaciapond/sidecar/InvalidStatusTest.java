package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Tests targets whose responses have a status that is none of HTTP. */
class InvalidStatusTest extends MeshTest {

  private static HttpResponse invalidResponse(HttpExchange exchange) {
    String id = String.valueOf(exchange.header("X-Attempt-Id"));
    return new HttpResponse(
        0, List.of("X-Attempt-Id", id, "X-Server-Signature", "signed"), new byte[] {'x'});
  }

  /** Guards against a client that gets such a response, which does not tell whether it ran. */
  @Test
  void clientGetsNoResponseWithInvalidStatus() throws Exception {
    TestMachine[] mesh = startOrdersMesh(1);
    mesh[1].target.setResponseFunction(InvalidStatusTest::invalidResponse);

    assertEquals(502, send(mesh[0], "POST", "/orders/1", nextId()).statusCode());
    assertEquals(502, status(mesh[0], "/views/1"));
  }

  /** Guards against a request that fails though it may be repeated at another target. */
  @Test
  void repeatableRequestIsServedByAnotherTarget() throws Exception {
    TestMachine[] mesh = startOrdersMesh(2);
    // One target suffices to serve, so the caller may not know the other one yet.
    awaitCondition(
        "the caller reaches both targets",
        () -> checkInAndGet(mesh, mesh[0]) == 200 && reaches(mesh, 1) && reaches(mesh, 2));
    mesh[1].target.setResponseFunction(InvalidStatusTest::invalidResponse);

    for (int i = 0; i < 4; i++) {
      assertEquals(200, status(mesh[0], "/views/1"));
    }
  }

  private boolean reaches(TestMachine[] mesh, int target) {
    int runs = mesh[target].target.runs();
    for (int i = 0; i < 20; i++) {
      status(mesh[0], "/views/1");
    }
    return mesh[target].target.runs() > runs;
  }
}
