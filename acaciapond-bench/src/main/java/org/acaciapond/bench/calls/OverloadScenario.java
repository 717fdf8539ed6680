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
import org.acaciapond.bench.target.ExchangeId;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathOptions;

/**
 * Scenario that measures goodput at the capacity and at twice the capacity of the targets, with
 * admission control and retry budget and, as a baseline, without them.
 *
 * <p>Each of two targets processes 8 calls of 10 ms at a time and has an unbounded queue for the
 * rest. Goodput counts the calls that are answered within their deadline.
 */
final class OverloadScenario {

  private static final int SLOTS = 8;
  private static final long SERVICE_TIME_MS = 10;
  private static final int TARGETS = 2;
  private static final int CAPACITY_PER_S = TARGETS * SLOTS * 1_000 / (int) SERVICE_TIME_MS;
  private static final String DEADLINE_MS = "200";
  private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long DRAIN_MS = 1_500;

  /** Call rates of the warm-up, one second each, as fractions of the measured rate. */
  private static final double[] WARM_UP_RATE_FRACTIONS = {0.1, 0.25, 0.5, 1};

  private static final long POLL_INTERVAL_MS = 20;

  private final Vertx vertx;
  private final Set<String> executed = ConcurrentHashMap.newKeySet();
  private final Set<String> reportedNotRun = ConcurrentHashMap.newKeySet();
  private final LongAdder answeredInTime = new LongAdder();
  private final LongAdder notRun = new LongAdder();
  private final AtomicInteger pending = new AtomicInteger();
  private final OutcomeCounts outcomes = new OutcomeCounts();

  private OverloadScenario(Vertx vertx) {
    this.vertx = vertx;
  }

  static JsonObject run(Vertx vertx, int seconds) throws Exception {
    JsonObject result = new JsonObject().put("processes", 1).put("capacity_per_s", CAPACITY_PER_S);
    for (boolean admissionAndBudget : new boolean[] {true, false}) {
      String prefix = admissionAndBudget ? "" : "baseline_";
      for (int factor = 1; factor <= 2; factor++) {
        OverloadScenario scenario = new OverloadScenario(vertx);
        int calls = scenario.runLoad(admissionAndBudget, factor * CAPACITY_PER_S, seconds);
        result.put(
            prefix + "goodput_at_" + factor + "x_per_s", scenario.answeredInTime.sum() / seconds);
        result.put(
            prefix + "attempts_per_call_" + factor + "x",
            scenario.executed.size() / (double) calls);
        result.put(prefix + "not_run_" + factor + "x", scenario.notRun.sum());
        scenario.reportedNotRun.retainAll(scenario.executed);
        result.put(prefix + "false_not_run_" + factor + "x", scenario.reportedNotRun.size());
        result.put(prefix + "outcomes_" + factor + "x", scenario.outcomes.toJson());
      }
    }
    return result;
  }

  private int runLoad(boolean admissionAndBudget, int rate, int seconds) throws Exception {
    InProcessMesh mesh =
        new InProcessMesh(
            vertx, config(), new RequestPathOptions(2, 0, admissionAndBudget, admissionAndBudget));
    OutboundProxy outbound = mesh.startOutbound("front");
    for (int i = 0; i < TARGETS; i++) {
      mesh.startInbound("back", new SlowTarget().start());
    }
    LoadClient client = new LoadClient(vertx, outbound.port(), "back");
    warmUp(client, rate);
    executed.clear();
    reportedNotRun.clear();
    answeredInTime.reset();
    notRun.reset();
    outcomes.clear();
    int calls =
        new OpenLoopGenerator(2, rate)
            .run(TimeUnit.SECONDS.toNanos(seconds), nanos -> send(client, "/load/", nanos));
    Thread.sleep(DRAIN_MS);
    return calls;
  }

  /**
   * Warms up the code at increasing rates and waits until all calls have ended: warm-up calls that
   * still wait in the load client would delay measured calls beyond their deadline, and these calls
   * would count as late.
   */
  private void warmUp(LoadClient client, int rate) throws InterruptedException {
    for (double fraction : WARM_UP_RATE_FRACTIONS) {
      new OpenLoopGenerator(1, fraction * rate)
          .run(TimeUnit.SECONDS.toNanos(1), nanos -> send(client, "/warm/", nanos));
      while (pending.get() > 0) {
        Thread.sleep(POLL_INTERVAL_MS);
      }
    }
    Thread.sleep(DRAIN_MS);
  }

  private void send(LoadClient client, String path, long intendedNanos) {
    String uri = path + intendedNanos;
    pending.incrementAndGet();
    client
        .send(HttpMethod.GET, uri, Buffer.buffer(), DEADLINE_MS)
        .onComplete(outcomes::add)
        .onComplete(ignored -> pending.decrementAndGet())
        .onSuccess(
            response -> {
              if (response.status() == 200) {
                if (System.nanoTime() - intendedNanos <= DEADLINE_NANOS) {
                  answeredInTime.increment();
                } else {
                  outcomes.add("200 late");
                }
              } else if ("not-run".equals(response.outcome())) {
                notRun.increment();
                reportedNotRun.add(uri);
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

  /** Target with a fixed number of slots and an unbounded queue. */
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
      executed.add(request.uri());
      ExchangeId.addToResponse(request);
      request.response().exceptionHandler(error -> {});
      if (running < SLOTS) {
        process(request);
      } else {
        queue.add(request);
      }
    }

    private void process(HttpServerRequest request) {
      running++;
      vertx.setTimer(
          SERVICE_TIME_MS,
          id -> {
            running--;
            if (!request.response().closed()) {
              request.response().end("ok");
            }
            HttpServerRequest next = queue.poll();
            if (next != null) {
              process(next);
            }
          });
    }
  }
}
