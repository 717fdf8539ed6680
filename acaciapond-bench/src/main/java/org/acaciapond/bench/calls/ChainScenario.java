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
import org.acaciapond.bench.target.ExchangeId;
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
 * Scenario that measures retry amplification at the failing leaf of a call chain with a depth of
 * 25, with the retry budget and, as a baseline, without it.
 *
 * <p>The leaf service has two nodes whose targets accept no connections, so both nodes refuse every
 * call as not run.
 */
final class ChainScenario {

  private static final int DEPTH = 25;
  private static final int RATE_PER_S = 100;
  private static final int WARM_UP_CALLS = 40;

  /**
   * Exceeds the call timeout of 5 s, so that all calls have ended when the attempts are counted.
   */
  private static final long DRAIN_MS = 6_000;

  private static final List<String> FORWARDED_HEADERS =
      List.of(MeshHeaders.CALL_ID, MeshHeaders.RETRY, MeshHeaders.DEADLINE_MS, "traceparent");

  private ChainScenario() {}

  static JsonObject run(Vertx vertx, int seconds) throws Exception {
    JsonObject result = new JsonObject().put("processes", 1).put("depth", DEPTH);
    OutcomeCounts outcomes = new OutcomeCounts();
    result.put("leaf_attempts_per_call", measureAttemptsPerCall(vertx, seconds, true, outcomes));
    result.put("outcomes", outcomes.toJson());
    outcomes.clear();
    result.put(
        "baseline_leaf_attempts_per_call", measureAttemptsPerCall(vertx, seconds, false, outcomes));
    result.put("baseline_outcomes", outcomes.toJson());
    return result;
  }

  private static double measureAttemptsPerCall(
      Vertx vertx, int seconds, boolean retryBudget, OutcomeCounts outcomes) throws Exception {
    InProcessMesh mesh =
        new InProcessMesh(vertx, config(), new RequestPathOptions(1, 0, retryBudget, true));
    List<InboundProxy> leafProxies = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      leafProxies.add(mesh.startInbound("s" + DEPTH, findClosedPort()));
    }
    OutboundProxy outbound = mesh.startOutbound("s" + (DEPTH - 1));
    for (int i = DEPTH - 1; i >= 1; i--) {
      mesh.startInbound("s" + i, startForwardingTarget(vertx, outbound.port(), "s" + (i + 1)));
      outbound = mesh.startOutbound("s" + (i - 1));
    }
    LoadClient client = new LoadClient(vertx, outbound.port(), "s1");
    warmUp(client);
    final long attemptsBefore = countAdmitted(leafProxies);
    int calls =
        new OpenLoopGenerator(3, RATE_PER_S)
            .run(
                TimeUnit.SECONDS.toNanos(seconds),
                nanos ->
                    client
                        .send(io.vertx.core.http.HttpMethod.GET, "/" + nanos, Buffer.buffer(), null)
                        .onComplete(outcomes::add));
    Thread.sleep(DRAIN_MS);
    return (countAdmitted(leafProxies) - attemptsBefore) / (double) calls;
  }

  private static long countAdmitted(List<InboundProxy> leafProxies) {
    return leafProxies.stream().mapToLong(proxy -> proxy.admission().admittedCount()).sum();
  }

  /**
   * Sends calls one at a time: with code that is not compiled yet on 50 hops, concurrent calls
   * would pile up in a queue.
   */
  private static void warmUp(LoadClient client) throws InterruptedException {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      CountDownLatch completed = new CountDownLatch(1);
      client
          .send(io.vertx.core.http.HttpMethod.GET, "/warm/" + i, Buffer.buffer(), null)
          .onComplete(ignored -> completed.countDown());
      completed.await();
    }
  }

  private static int findClosedPort() throws java.io.IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Starts a target that calls the next service and returns its status and outcome. */
  private static int startForwardingTarget(Vertx vertx, int outboundPort, String nextService) {
    HttpClient client =
        vertx.createHttpClient(
            new io.vertx.core.http.HttpClientOptions(), new PoolOptions().setHttp1MaxSize(256));
    return vertx
        .createHttpServer()
        .requestHandler(request -> forward(client, outboundPort, nextService, request))
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  private static void forward(
      HttpClient client, int port, String nextService, HttpServerRequest request) {
    ExchangeId.addToResponse(request);
    client
        .request(
            new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(port, "127.0.0.1"))
                .setHost(nextService)
                .setPort(port)
                .setURI(request.uri()))
        .compose(forwarded -> copyHeaders(request, forwarded).send())
        .onSuccess(
            response -> {
              String outcome = response.getHeader(MeshHeaders.OUTCOME);
              request.response().setStatusCode(response.statusCode());
              if (outcome != null) {
                request.response().putHeader(MeshHeaders.OUTCOME, outcome);
              }
              request.response().end();
            })
        .onFailure(error -> request.response().setStatusCode(500).end());
  }

  private static HttpClientRequest copyHeaders(
      HttpServerRequest request, HttpClientRequest forwarded) {
    for (String name : FORWARDED_HEADERS) {
      String value = request.getHeader(name);
      if (value != null) {
        forwarded.putHeader(name, value);
      }
    }
    return forwarded;
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
