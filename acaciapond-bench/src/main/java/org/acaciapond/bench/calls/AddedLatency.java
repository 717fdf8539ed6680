package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measurement of the latency that the path through two nodes adds to a call.
 *
 * <p>Direct calls to the target and calls through the nodes alternate each second, so that both are
 * measured under the same load of the machine. Nodes, target and platform are separate processes.
 */
final class AddedLatency {

  private static final int WARM_UP_S = 8;
  private static final long DRAIN_TIMEOUT_MS = 6_000;
  private static final double NANOS_PER_MS = 1e6;
  private static final Buffer REQUEST_BODY = Buffer.buffer("p".repeat(256));

  private final LoadClient client;
  private final String name;
  private final ConcurrentHistogram latency = new ConcurrentHistogram(3);
  private final LongAdder errors = new LongAdder();
  private final OutcomeCounts outcomes = new OutcomeCounts();
  private final LongAdder wrongResponses = new LongAdder();
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicLong nextNumber = new AtomicLong();
  private volatile boolean recording;

  private AddedLatency(LoadClient client, String name) {
    this.client = client;
    this.name = name;
  }

  /** Measures direct calls and calls through the nodes for a number of seconds each. */
  static JsonObject measure(MeshProcesses mesh, int seconds, int rate) throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      System.err.println("resident size of the nodes when idle: " + mesh.readResidentSizes());
      AddedLatency direct =
          new AddedLatency(new LoadClient(vertx, mesh.targetPort(), "direct"), "direct");
      AddedLatency proxied =
          new AddedLatency(
              new LoadClient(vertx, mesh.outboundPort(), MeshProcesses.SERVICE), "proxied");
      alternate(direct, proxied, WARM_UP_S, rate);
      direct.recording = true;
      proxied.recording = true;
      final int calls = alternate(direct, proxied, seconds, rate);
      System.err.println("resident size of the nodes under load: " + mesh.readResidentSizes());
      awaitPendingCalls(proxied);
      direct.printPercentiles();
      proxied.printPercentiles();
      return toJson(direct, proxied, calls, mesh.fetchDuplicates());
    } finally {
      vertx.close();
    }
  }

  private static int alternate(AddedLatency direct, AddedLatency proxied, int seconds, int rate) {
    int calls = 0;
    for (int i = 0; i < seconds; i++) {
      new OpenLoopGenerator(i, rate).run(TimeUnit.SECONDS.toNanos(1), direct::startCall);
      calls += new OpenLoopGenerator(i, rate).run(TimeUnit.SECONDS.toNanos(1), proxied::startCall);
    }
    return calls;
  }

  private static void awaitPendingCalls(AddedLatency proxied) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MS);
    while (proxied.pending.get() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.sleep(10);
    }
  }

  private void startCall(long intendedNanos) {
    long callNumber = nextNumber.getAndIncrement();
    boolean nonIdempotent = callNumber % 2 == 0;
    String uri = (nonIdempotent ? "/once/" : "/safe/") + name + "/" + callNumber;
    Buffer body = nonIdempotent ? REQUEST_BODY : Buffer.buffer();
    boolean measured = recording;
    pending.incrementAndGet();
    client
        .send(nonIdempotent ? HttpMethod.POST : HttpMethod.GET, uri, body, null)
        .onComplete(
            result -> {
              pending.decrementAndGet();
              if (!measured) {
                return;
              }
              outcomes.add(result);
              if (result.failed() || result.result().status() != 200) {
                errors.increment();
              } else if (!result.result().body().equals(EchoTarget.responseBody(uri, body))) {
                wrongResponses.increment();
              } else {
                latency.recordValue(Math.max(0, System.nanoTime() - intendedNanos));
              }
            });
  }

  private double percentileMs(double percentile) {
    return latency.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  private void printPercentiles() {
    System.err.printf(
        "%s: p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, p99.9 %.3f ms%n",
        name, percentileMs(50), percentileMs(90), percentileMs(99), percentileMs(99.9));
  }

  private static JsonObject toJson(
      AddedLatency direct, AddedLatency proxied, int calls, long duplicates) {
    return new JsonObject()
        .put("added_ms_p50", roundToMicros(proxied.percentileMs(50) - direct.percentileMs(50)))
        .put("added_ms_p99", roundToMicros(proxied.percentileMs(99) - direct.percentileMs(99)))
        .put("calls", calls)
        .put("errors", proxied.errors.sum())
        .put("outcomes", proxied.outcomes.toJson())
        .put("direct_outcomes", direct.outcomes.toJson())
        .put("duplicates", duplicates)
        .put("lost", proxied.pending.get())
        .put("wrong_answer", proxied.wrongResponses.sum());
  }

  private static double roundToMicros(double ms) {
    return Math.round(ms * 1_000) / 1_000.0;
  }
}
