package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathOptions;

/**
 * Calls while all open connections between two nodes go silent every 5 s and new ones work.
 *
 * <p>All calls are idempotent; the deadline of 10 s leaves time for a retry.
 */
final class SilentScenario {

  private static final int RATE_PER_S = 200;
  private static final long PERIOD_MS = 5_000;
  private static final long SETTLE_MS = 11_000;
  private static final String DEADLINE_MS = "10000";
  private static final double NANOS_PER_MS = 1e6;

  private final List<NetSocket> open = new CopyOnWriteArrayList<>();
  private final Vertx vertx;

  private SilentScenario(Vertx vertx) {
    this.vertx = vertx;
  }

  static JsonObject run(Vertx vertx, int seconds) throws Exception {
    return new SilentScenario(vertx).measure(seconds);
  }

  private JsonObject measure(int seconds) throws Exception {
    InProcessMesh mesh =
        new InProcessMesh(
            vertx, OverloadScenario.config(), new RequestPathOptions(2, 0, true, true));
    OutboundProxy outbound = mesh.outbound("front");
    int target =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.response().end("ok"))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join()
            .actualPort();
    int node = mesh.inbound("back", target).port();
    mesh.forget("back");
    int relay = relay(node);
    mesh.announce("back", relay);
    mesh.announce("back", relay);
    LoadClient client = new LoadClient(vertx, outbound.port(), "back");
    vertx.setPeriodic(PERIOD_MS, id -> silence());
    ConcurrentHistogram latency = new ConcurrentHistogram(3);
    LongAdder errors = new LongAdder();
    AtomicInteger pending = new AtomicInteger();
    int calls =
        new OpenLoop(4, RATE_PER_S)
            .run(
                TimeUnit.SECONDS.toNanos(seconds),
                nanos -> {
                  pending.incrementAndGet();
                  client
                      .send(HttpMethod.GET, "/" + nanos, Buffer.buffer(), DEADLINE_MS)
                      .onComplete(
                          result -> {
                            pending.decrementAndGet();
                            latency.recordValue(System.nanoTime() - nanos);
                            if (result.failed() || result.result().status() != 200) {
                              errors.increment();
                            }
                          });
                });
    Thread.sleep(SETTLE_MS);
    return new JsonObject()
        .put("processes", 1)
        .put("calls", calls)
        .put("errors", errors.sum())
        .put("lost", pending.get())
        .put("connections_replaced", mesh.counters.silentConnections())
        .put("retries", mesh.counters.retries())
        .put("retries_denied", mesh.counters.retriesDenied())
        .put("latency_ms_p50", latency.getValueAtPercentile(50) / NANOS_PER_MS)
        .put("latency_ms_max", latency.getMaxValue() / NANOS_PER_MS);
  }

  private void silence() {
    open.forEach(socket -> socket.handler(data -> {}));
    open.clear();
  }

  private int relay(int toPort) {
    return vertx
        .createNetServer()
        .connectHandler(
            near -> {
              near.pause();
              vertx
                  .createNetClient()
                  .connect(toPort, "127.0.0.1")
                  .onSuccess(far -> join(near, far));
            })
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  private void join(NetSocket near, NetSocket far) {
    open.add(near);
    open.add(far);
    near.handler(far::write);
    far.handler(near::write);
    near.closeHandler(ignored -> far.close());
    far.closeHandler(ignored -> near.close());
    near.resume();
  }
}
