package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathOptions;

/**
 * Goodput at capacity and at twice the capacity, beside a baseline without admission and budget.
 *
 * <p>Each of two targets runs 8 calls of 10 ms at a time and queues the rest without bound. A call
 * is good when it is answered within its deadline.
 */
final class OverloadScenario {

  private static final int SLOTS = 8;
  private static final long SERVICE_MS = 10;
  private static final int TARGETS = 2;
  private static final int CAPACITY_PER_S = TARGETS * SLOTS * 1_000 / (int) SERVICE_MS;
  private static final String DEADLINE_MS = "200";
  private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long SETTLE_MS = 1_500;

  /** Rates of the seconds of warm-up, as fractions of the rate that is measured. */
  private static final double[] WARM_UP_SHARES = {0.1, 0.25, 0.5, 1};

  private static final long POLL_MS = 20;

  private final Vertx vertx;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Set<String> claimedNotRun = ConcurrentHashMap.newKeySet();
  private final LongAdder good = new LongAdder();
  private final LongAdder notRun = new LongAdder();
  private final AtomicInteger pending = new AtomicInteger();
  private final OutcomeCounts outcomes = new OutcomeCounts();

  private OverloadScenario(Vertx vertx) {
    this.vertx = vertx;
  }

  static JsonObject run(Vertx vertx, int seconds) throws Exception {
    JsonObject result = new JsonObject().put("processes", 1).put("capacity_per_s", CAPACITY_PER_S);
    for (boolean protect : new boolean[] {true, false}) {
      String prefix = protect ? "" : "baseline_";
      for (int factor = 1; factor <= 2; factor++) {
        OverloadScenario run = new OverloadScenario(vertx);
        int calls = run.load(protect, factor * CAPACITY_PER_S, seconds);
        result.put(prefix + "goodput_at_" + factor + "x_per_s", run.good.sum() / seconds);
        result.put(prefix + "attempts_per_call_" + factor + "x", run.ran.size() / (double) calls);
        result.put(prefix + "not_run_" + factor + "x", run.notRun.sum());
        run.claimedNotRun.retainAll(run.ran);
        result.put(prefix + "false_not_run_" + factor + "x", run.claimedNotRun.size());
        result.put(prefix + "outcomes_" + factor + "x", run.outcomes.toJson());
      }
    }
    return result;
  }

  private int load(boolean protect, int rate, int seconds) throws Exception {
    InProcessMesh mesh =
        new InProcessMesh(vertx, config(), new RequestPathOptions(2, 0, protect, protect));
    OutboundProxy outbound = mesh.outbound("front");
    for (int i = 0; i < TARGETS; i++) {
      mesh.inbound("back", new SlowTarget().start());
    }
    LoadClient client = new LoadClient(vertx, outbound.port(), "back");
    warmUp(client, rate);
    ran.clear();
    claimedNotRun.clear();
    good.reset();
    notRun.reset();
    outcomes.clear();
    int calls =
        new OpenLoop(2, rate)
            .run(TimeUnit.SECONDS.toNanos(seconds), nanos -> send(client, "/load/", nanos));
    Thread.sleep(SETTLE_MS);
    return calls;
  }

  /**
   * Warms the code up step by step and waits until no call is left: calls of the warm-up that still
   * wait in the load client delay the measured ones beyond their deadline and are counted as such.
   */
  private void warmUp(LoadClient client, int rate) throws InterruptedException {
    for (double share : WARM_UP_SHARES) {
      new OpenLoop(1, share * rate)
          .run(TimeUnit.SECONDS.toNanos(1), nanos -> send(client, "/warm/", nanos));
      while (pending.get() > 0) {
        Thread.sleep(POLL_MS);
      }
    }
    Thread.sleep(SETTLE_MS);
  }

  private void send(LoadClient client, String path, long intendedNanos) {
    String uri = path + intendedNanos;
    pending.incrementAndGet();
    client
        .send(HttpMethod.GET, uri, Buffer.buffer(), DEADLINE_MS)
        .onComplete(outcomes::add)
        .onComplete(ignored -> pending.decrementAndGet())
        .onSuccess(
            answer -> {
              if (answer.status() == 200) {
                if (System.nanoTime() - intendedNanos <= DEADLINE_NANOS) {
                  good.increment();
                } else {
                  outcomes.add("200 late");
                }
              } else if ("not-run".equals(answer.outcome())) {
                notRun.increment();
                claimedNotRun.add(uri);
              }
            });
  }

  static MeshConfig config() {
    return new MeshConfig(List.of(service("front", List.of("back")), service("back", List.of())));
  }

  private static ServiceConfig service(String name, List<String> dependsOn) {
    return new ServiceConfig(
        name,
        dependsOn,
        false,
        List.of(new RouteConfig("/", true, 2_000, 2, null)),
        new LimitsConfig(SLOTS, SLOTS, 130, 65_536),
        List.of(new VersionConfig("v1")),
        "v1",
        null);
  }

  /** Target with a fixed number of workers and a queue without bound. */
  private final class SlowTarget {

    private final Queue<HttpServerRequest> queue = new ArrayDeque<>();
    private int running;

    int start() {
      HttpServer server = vertx.createHttpServer().requestHandler(this::onRequest);
      return server
          .listen(0, "127.0.0.1")
          .toCompletionStage()
          .toCompletableFuture()
          .join()
          .actualPort();
    }

    private void onRequest(HttpServerRequest request) {
      ran.add(request.uri());
      request.response().exceptionHandler(error -> {});
      if (running < SLOTS) {
        work(request);
      } else {
        queue.add(request);
      }
    }

    private void work(HttpServerRequest request) {
      running++;
      vertx.setTimer(
          SERVICE_MS,
          id -> {
            running--;
            if (!request.response().closed()) {
              request.response().end("ok");
            }
            HttpServerRequest next = queue.poll();
            if (next != null) {
              work(next);
            }
          });
    }
  }
}
