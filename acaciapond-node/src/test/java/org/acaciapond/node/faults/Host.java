package org.acaciapond.node.faults;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.impl.VertxInternal;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.acaciapond.common.settings.SettingsLoader;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.node.NodeProcess;
import org.acaciapond.node.NodeSettings;
import org.acaciapond.node.membership.LocalTarget;

/** Host with a target, and with a node that can be killed, frozen, stopped and started again. */
final class Host {

  /** Ends a test that hangs; no statement about how fast a node starts or stops. */
  private static final Duration HANG = Duration.ofSeconds(30);

  /** How the target answers. */
  enum Mood {
    WELL,
    HANGS,
    FAILS,
    SHEDS,
    COLD
  }

  private static final long SERVICE_TIME_MS = 10;
  private static final long COLD_TIME_MS = 300;

  final String id;
  final String ip;
  final String domain;
  final String service;
  final String version;
  volatile Mood mood = Mood.WELL;
  volatile NodeProcess node;
  volatile boolean stopping;
  private final FaultMesh mesh;
  private volatile Vertx vertx;
  private volatile CountDownLatch frozen;
  private final HttpServer target;

  Host(FaultMesh mesh, String id, int number, String domain, String service, String version) {
    this.mesh = mesh;
    this.id = id;
    this.ip = GatedNetwork.PREFIX + number;
    this.domain = domain;
    this.service = service;
    this.version = version;
    this.target =
        FaultMesh.await(mesh.vertx.createHttpServer().requestHandler(this::receive).listen(0));
  }

  boolean isRunning() {
    return node != null;
  }

  boolean isFrozen() {
    return frozen != null;
  }

  /** Starts a node without memory of an earlier one. */
  void start(List<String> seeds, int platformPort) {
    JsonObject settings =
        new JsonObject()
            .put("host_id", id)
            .put("service", service)
            .put("failure_domain", domain)
            .put("ip", ip)
            .put("outbound_port", 0)
            .put("inbound_port", 0)
            .put("peer_port", 0)
            .put("admin_port", 0)
            .put("request_event_loops", 1)
            .put("drain_delay_ms", 1_000)
            .put("seeds_interval_ms", 1_000)
            .put("seeds", new JsonArray(seeds))
            .put("platform", FaultMesh.PLATFORM_IP + ":" + platformPort);
    vertx = mesh.network.newVertx(ip);
    NodeProcess next =
        new NodeProcess(
            vertx, SettingsLoader.parse(settings.encode(), NodeSettings.ALL), TimeSource.system());
    next.snapshots().addListener(snapshot -> mesh.recorder.snapshot(id, snapshot));
    next.start().await().atMost(HANG);
    stopping = false;
    node = next;
    announce(false);
  }

  void announce(boolean leaving) {
    if (leaving) {
      mesh.recorder.leaving(id);
    } else {
      mesh.recorder.staying(id);
    }
    node.localTarget()
        .announce(new LocalTarget.Announcement(version, target.actualPort(), 1, leaving));
  }

  /** Closes the sockets of the node without telling any other. */
  void kill() {
    node = null;
    thaw();
    FaultMesh.await(vertx.close());
  }

  /** Stops the node as planned and checks that it ends. */
  void stopAsPlanned() {
    stopping = true;
    mesh.recorder.leaving(id);
    node.stop().await().atMost(HANG);
    kill();
  }

  /** Holds all threads of the node, as SIGSTOP does; the kernel still accepts its bytes. */
  void freeze() {
    CountDownLatch latch = new CountDownLatch(1);
    frozen = latch;
    VertxInternal internal = (VertxInternal) vertx;
    internal.getEventLoopGroup().forEach(loop -> loop.execute(() -> hold(latch)));
  }

  private static void hold(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void thaw() {
    CountDownLatch latch = frozen;
    frozen = null;
    if (latch != null) {
      latch.countDown();
    }
  }

  private void receive(HttpServerRequest request) {
    String callId = request.getHeader("x-acaciapond-call-id");
    long atMs = System.currentTimeMillis();
    boolean[] ended = {false};
    request
        .response()
        .closeHandler(
            ignored -> {
              if (!ended[0]) {
                mesh.onCut(this, callId, atMs);
              }
            });
    mesh.recorder.ran(callId, id, version, atMs);
    request.body().onSuccess(body -> answer(request, callId, body.toString(), ended));
  }

  private void answer(HttpServerRequest request, String callId, String body, boolean[] ended) {
    Mood now = mood;
    if (now == Mood.HANGS) {
      return;
    }
    int status = now == Mood.FAILS ? 500 : now == Mood.SHEDS ? 503 : 200;
    long delayMs = now == Mood.COLD ? COLD_TIME_MS : SERVICE_TIME_MS;
    mesh.vertx.setTimer(
        delayMs,
        ignored -> {
          ended[0] = true;
          if (!request.response().closed()) {
            request.response().setStatusCode(status).end(FaultMesh.answerTo(callId, body));
          }
        });
  }
}
