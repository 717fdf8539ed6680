package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.acaciapond.bench.target.ExchangeId;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathOptions;

/**
 * Scenario in which all open connections between two nodes go silent every 5 s while new
 * connections work.
 *
 * <p>All calls are idempotent, and their deadline of 10 s leaves time for a retry.
 */
final class SilentConnectionsScenario {

  private static final int RATE_PER_S = 200;
  private static final long SILENCE_INTERVAL_MS = 5_000;
  private static final long DRAIN_MS = 11_000;
  private static final String DEADLINE_MS = "10000";
  private static final double NANOS_PER_MS = 1e6;

  private final List<NetSocket> openSockets = new CopyOnWriteArrayList<>();
  private final Vertx vertx;

  private SilentConnectionsScenario(Vertx vertx) {
    this.vertx = vertx;
  }

  static JsonObject run(Vertx vertx, int seconds) throws Exception {
    return new SilentConnectionsScenario(vertx).measure(seconds);
  }

  private static void respond(HttpServerRequest request) {
    ExchangeId.addToResponse(request);
    request.response().end("ok");
  }

  private JsonObject measure(int seconds) throws Exception {
    InProcessMesh mesh =
        new InProcessMesh(
            vertx, OverloadScenario.config(), new RequestPathOptions(2, 0, true, true));
    OutboundProxy outbound = mesh.startOutbound("front");
    int targetPort =
        vertx
            .createHttpServer()
            .requestHandler(SilentConnectionsScenario::respond)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join()
            .actualPort();
    int nodePort = mesh.startInbound("back", targetPort).port();
    mesh.removeTargets("back");
    int relayPort = startRelay(nodePort);
    mesh.addTarget("back", relayPort);
    mesh.addTarget("back", relayPort);
    LoadClient client = new LoadClient(vertx, outbound.port(), "back");
    vertx.setPeriodic(SILENCE_INTERVAL_MS, id -> silenceOpenSockets());
    ConcurrentHistogram latency = new ConcurrentHistogram(3);
    LongAdder errors = new LongAdder();
    AtomicInteger pending = new AtomicInteger();
    int calls =
        new OpenLoopGenerator(4, RATE_PER_S)
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
    Thread.sleep(DRAIN_MS);
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

  private void silenceOpenSockets() {
    openSockets.forEach(socket -> socket.handler(data -> {}));
    openSockets.clear();
  }

  private int startRelay(int toPort) {
    return vertx
        .createNetServer()
        .connectHandler(
            clientSide -> {
              clientSide.pause();
              vertx
                  .createNetClient()
                  .connect(toPort, "127.0.0.1")
                  .onSuccess(nodeSide -> connectSockets(clientSide, nodeSide));
            })
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join()
        .actualPort();
  }

  private void connectSockets(NetSocket clientSide, NetSocket nodeSide) {
    openSockets.add(clientSide);
    openSockets.add(nodeSide);
    clientSide.handler(nodeSide::write);
    nodeSide.handler(clientSide::write);
    clientSide.closeHandler(ignored -> nodeSide.close());
    nodeSide.closeHandler(ignored -> clientSide.close());
    clientSide.resume();
  }
}
