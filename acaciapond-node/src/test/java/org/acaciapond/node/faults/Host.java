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

/** Host with a target and a node that can be killed, frozen, stopped and restarted. */
final class Host {

  /** Fails a test that hangs; not a bound on how fast a node starts or stops. */
  private static final Duration START_STOP_TIMEOUT = Duration.ofSeconds(30);

  /** Behavior of the target for each call. */
  enum TargetBehavior {
    NORMAL,
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
  volatile TargetBehavior targetBehavior = TargetBehavior.NORMAL;
  volatile NodeProcess node;
  volatile boolean stopping;
  private final FaultMesh mesh;
  private volatile Vertx vertx;
  private volatile CountDownLatch freezeLatch;
  private final HttpServer target;

  Host(FaultMesh mesh, String id, int hostNumber, String domain, String service, String version) {
    this.mesh = mesh;
    this.id = id;
    this.ip = GatedNetwork.PREFIX + hostNumber;
    this.domain = domain;
    this.service = service;
    this.version = version;
    this.target =
        FaultMesh.await(
            mesh.vertx.createHttpServer().requestHandler(this::handleRequest).listen(0));
  }

  boolean isRunning() {
    return node != null;
  }

  boolean isFrozen() {
    return freezeLatch != null;
  }

  /** Starts a new node without state of an earlier one. */
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
    next.snapshots().addListener(snapshot -> mesh.recorder.recordSnapshot(id, snapshot));
    next.start().await().atMost(START_STOP_TIMEOUT);
    stopping = false;
    node = next;
    announce(false);
  }

  void announce(boolean leaving) {
    if (leaving) {
      mesh.recorder.recordLeaving(id);
    } else {
      mesh.recorder.recordStaying(id);
    }
    node.localTarget()
        .announce(new LocalTarget.Announcement(version, target.actualPort(), 1, leaving));
  }

  /** Closes the sockets of the node without announcing that it leaves. */
  void kill() {
    node = null;
    thaw();
    FaultMesh.await(vertx.close());
  }

  /** Stops the node as planned and checks that it stops. */
  void stopAsPlanned() {
    stopping = true;
    mesh.recorder.recordLeaving(id);
    node.stop().await().atMost(START_STOP_TIMEOUT);
    kill();
  }

  /** Blocks all threads of the node, as SIGSTOP does; the kernel still accepts bytes for it. */
  void freeze() {
    CountDownLatch latch = new CountDownLatch(1);
    freezeLatch = latch;
    VertxInternal internal = (VertxInternal) vertx;
    internal.getEventLoopGroup().forEach(loop -> loop.execute(() -> blockThread(latch)));
  }

  private static void blockThread(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void thaw() {
    CountDownLatch latch = freezeLatch;
    freezeLatch = null;
    if (latch != null) {
      latch.countDown();
    }
  }

  private void handleRequest(HttpServerRequest request) {
    String callId = request.getHeader("x-acaciapond-call-id");
    long receivedMs = System.currentTimeMillis();
    boolean[] responded = {false};
    request
        .response()
        .closeHandler(
            ignored -> {
              if (!responded[0]) {
                mesh.onConnectionCut(this, callId, receivedMs);
              }
            });
    mesh.recorder.recordExecution(callId, id, version, receivedMs);
    request.body().onSuccess(body -> respond(request, callId, body.toString(), responded));
  }

  private void respond(HttpServerRequest request, String callId, String body, boolean[] responded) {
    TargetBehavior behavior = targetBehavior;
    if (behavior == TargetBehavior.HANGS) {
      return;
    }
    int status =
        behavior == TargetBehavior.FAILS ? 500 : behavior == TargetBehavior.SHEDS ? 503 : 200;
    long delayMs = behavior == TargetBehavior.COLD ? COLD_TIME_MS : SERVICE_TIME_MS;
    mesh.vertx.setTimer(
        delayMs,
        ignored -> {
          responded[0] = true;
          if (!request.response().closed()) {
            request.response().setStatusCode(status).end(FaultMesh.responseTo(callId, body));
          }
        });
  }
}
