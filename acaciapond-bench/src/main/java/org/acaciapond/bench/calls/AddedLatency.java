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
 * Measurement of the latency that the path through two nodes adds.
 *
 * <p>Seconds of direct calls to the target and of calls through the nodes alternate, so that both
 * see the same machine. Nodes, target and platform are processes of their own.
 */
final class AddedLatency {

  private static final int WARM_UP_S = 8;
  private static final long SETTLE_MS = 6_000;
  private static final double NANOS_PER_MS = 1e6;
  private static final Buffer BODY = Buffer.buffer("p".repeat(256));

  private final LoadClient client;
  private final String name;
  private final ConcurrentHistogram latency = new ConcurrentHistogram(3);
  private final LongAdder errors = new LongAdder();
  private final OutcomeCounts outcomes = new OutcomeCounts();
  private final LongAdder wrong = new LongAdder();
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean recording;

  private AddedLatency(LoadClient client, String name) {
    this.client = client;
    this.name = name;
  }

  /** Measures for a number of seconds each way. */
  static JsonObject measure(RunningMesh mesh, int seconds, int rate) throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      System.err.println("resident size of the nodes when idle: " + mesh.residentSizes());
      AddedLatency direct =
          new AddedLatency(new LoadClient(vertx, mesh.targetPort(), "direct"), "direct");
      AddedLatency proxied =
          new AddedLatency(
              new LoadClient(vertx, mesh.outboundPort(), RunningMesh.SERVICE), "proxied");
      alternate(direct, proxied, WARM_UP_S, rate);
      direct.recording = true;
      proxied.recording = true;
      final int calls = alternate(direct, proxied, seconds, rate);
      System.err.println("resident size of the nodes under load: " + mesh.residentSizes());
      settle(proxied);
      direct.print();
      proxied.print();
      return result(direct, proxied, calls, mesh.duplicates());
    } finally {
      vertx.close();
    }
  }

  private static int alternate(AddedLatency direct, AddedLatency proxied, int seconds, int rate) {
    int calls = 0;
    for (int i = 0; i < seconds; i++) {
      new OpenLoop(i, rate).run(TimeUnit.SECONDS.toNanos(1), direct::start);
      calls += new OpenLoop(i, rate).run(TimeUnit.SECONDS.toNanos(1), proxied::start);
    }
    return calls;
  }

  private static void settle(AddedLatency proxied) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MS);
    while (proxied.pending.get() > 0 && System.nanoTime() < end) {
      Thread.sleep(10);
    }
  }

  private void start(long intendedNanos) {
    long number = sequence.getAndIncrement();
    boolean once = number % 2 == 0;
    String uri = (once ? "/once/" : "/safe/") + name + "/" + number;
    Buffer body = once ? BODY : Buffer.buffer();
    boolean counted = recording;
    pending.incrementAndGet();
    client
        .send(once ? HttpMethod.POST : HttpMethod.GET, uri, body, null)
        .onComplete(
            result -> {
              pending.decrementAndGet();
              if (!counted) {
                return;
              }
              outcomes.add(result);
              if (result.failed() || result.result().status() != 200) {
                errors.increment();
              } else if (!result.result().body().equals(EchoTarget.answer(uri, body))) {
                wrong.increment();
              } else {
                latency.recordValue(Math.max(0, System.nanoTime() - intendedNanos));
              }
            });
  }

  private double ms(double percentile) {
    return latency.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  private void print() {
    System.err.printf(
        "%s: p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, p99.9 %.3f ms%n",
        name, ms(50), ms(90), ms(99), ms(99.9));
  }

  private static JsonObject result(
      AddedLatency direct, AddedLatency proxied, int calls, long duplicates) {
    return new JsonObject()
        .put("added_ms_p50", rounded(proxied.ms(50) - direct.ms(50)))
        .put("added_ms_p99", rounded(proxied.ms(99) - direct.ms(99)))
        .put("calls", calls)
        .put("errors", proxied.errors.sum())
        .put("outcomes", proxied.outcomes.toJson())
        .put("direct_outcomes", direct.outcomes.toJson())
        .put("duplicates", duplicates)
        .put("lost", proxied.pending.get())
        .put("wrong_answer", proxied.wrong.sum());
  }

  private static double rounded(double ms) {
    return Math.round(ms * 1_000) / 1_000.0;
  }
}
