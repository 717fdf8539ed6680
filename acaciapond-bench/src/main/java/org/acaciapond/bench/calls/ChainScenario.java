package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.node.proxy.InboundProxy;
import org.acaciapond.node.proxy.MeshHeaders;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathOptions;

/**
 * Retry amplification at the failing leaf of a chain of 25 calls, beside a baseline without budget.
 *
 * <p>The leaf has two nodes whose targets accept no connection, so each of its nodes refuses every
 * call as not run.
 */
final class ChainScenario {

  private static final int DEPTH = 25;
  private static final int RATE_PER_S = 100;
  private static final int WARM_UP_CALLS = 40;

  /** Longer than the 5 s timeout of a call, so that every call has ended when it is counted. */
  private static final long SETTLE_MS = 6_000;

  private static final List<String> CARRIED =
      List.of(MeshHeaders.CALL_ID, MeshHeaders.RETRY, MeshHeaders.DEADLINE_MS, "traceparent");

  private ChainScenario() {}

  static JsonObject run(Vertx vertx, int seconds) throws Exception {
    JsonObject result = new JsonObject().put("processes", 1).put("depth", DEPTH);
    OutcomeCounts outcomes = new OutcomeCounts();
    result.put("leaf_attempts_per_call", attempts(vertx, seconds, true, outcomes));
    result.put("outcomes", outcomes.toJson());
    outcomes.clear();
    result.put("baseline_leaf_attempts_per_call", attempts(vertx, seconds, false, outcomes));
    result.put("baseline_outcomes", outcomes.toJson());
    return result;
  }

  private static double attempts(Vertx vertx, int seconds, boolean budget, OutcomeCounts outcomes)
      throws Exception {
    InProcessMesh mesh =
        new InProcessMesh(vertx, config(), new RequestPathOptions(1, 0, budget, true));
    List<InboundProxy> leaves = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      leaves.add(mesh.inbound("s" + DEPTH, closedPort()));
    }
    OutboundProxy outbound = mesh.outbound("s" + (DEPTH - 1));
    for (int i = DEPTH - 1; i >= 1; i--) {
      mesh.inbound("s" + i, passingTarget(vertx, outbound.port(), "s" + (i + 1)));
      outbound = mesh.outbound("s" + (i - 1));
    }
    LoadClient client = new LoadClient(vertx, outbound.port(), "s1");
    warmUp(client);
    final long attemptsBefore = admitted(leaves);
    int calls =
        new OpenLoop(3, RATE_PER_S)
            .run(
                TimeUnit.SECONDS.toNanos(seconds),
                nanos ->
                    client
                        .send(io.vertx.core.http.HttpMethod.GET, "/" + nanos, Buffer.buffer(), null)
                        .onComplete(outcomes::add));
    Thread.sleep(SETTLE_MS);
    return (admitted(leaves) - attemptsBefore) / (double) calls;
  }

  private static long admitted(List<InboundProxy> leaves) {
    return leaves.stream().mapToLong(leaf -> leaf.admission().admittedCount()).sum();
  }

  /** Sends calls one after the other, so that cold code of 50 hops does not add up in a queue. */
  private static void warmUp(LoadClient client) throws InterruptedException {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      CountDownLatch ended = new CountDownLatch(1);
      client
          .send(io.vertx.core.http.HttpMethod.GET, "/warm/" + i, Buffer.buffer(), null)
          .onComplete(ignored -> ended.countDown());
      ended.await();
    }
  }

  private static int closedPort() throws java.io.IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Starts a target that calls the next service and passes on status and outcome. */
  private static int passingTarget(Vertx vertx, int outboundPort, String next) {
    HttpClient client =
        vertx.createHttpClient(
            new io.vertx.core.http.HttpClientOptions(), new PoolOptions().setHttp1MaxSize(256));
    return vertx
        .createHttpServer()
        .requestHandler(request -> pass(client, outboundPort, next, request))
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  private static void pass(HttpClient client, int port, String next, HttpServerRequest request) {
    client
        .request(
            new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(port, "127.0.0.1"))
                .setHost(next)
                .setPort(port)
                .setURI(request.uri()))
        .compose(outgoing -> carry(request, outgoing).send())
        .onSuccess(
            answer -> {
              String outcome = answer.getHeader(MeshHeaders.OUTCOME);
              request.response().setStatusCode(answer.statusCode());
              if (outcome != null) {
                request.response().putHeader(MeshHeaders.OUTCOME, outcome);
              }
              request.response().end();
            })
        .onFailure(error -> request.response().setStatusCode(500).end());
  }

  private static HttpClientRequest carry(HttpServerRequest request, HttpClientRequest outgoing) {
    for (String name : CARRIED) {
      String value = request.getHeader(name);
      if (value != null) {
        outgoing.putHeader(name, value);
      }
    }
    return outgoing;
  }

  private static MeshConfig config() {
    List<ServiceConfig> services = new ArrayList<>();
    for (int i = 0; i <= DEPTH; i++) {
      List<String> dependsOn = i == DEPTH ? List.of() : List.of("s" + (i + 1));
      services.add(
          new ServiceConfig(
              "s" + i,
              dependsOn,
              false,
              List.of(new RouteConfig("/", true, 5_000, 3, null)),
              new LimitsConfig(256, 256, 512, 65_536),
              List.of(new VersionConfig("v1")),
              "v1",
              null));
    }
    return new MeshConfig(services);
  }
}
