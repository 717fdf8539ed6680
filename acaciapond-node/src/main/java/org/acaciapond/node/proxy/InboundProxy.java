package org.acaciapond.node.proxy;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.routing.admission.AdmissionController;
import org.acaciapond.routing.route.RouteTables;
import org.jspecify.annotations.Nullable;

/** Proxy of the calls that other nodes and outside callers make to the own target. */
public final class InboundProxy implements ManagedService {

  private static final int FORBIDDEN = 403;
  private static final int UNAVAILABLE = 503;
  private static final long TARGET_WATCH_MS = 200;

  /** Bounds the connections of outside callers and other nodes. */
  private static final int MAX_CONNECTIONS = 16_384;

  private final SnapshotHolder holder;
  private final LocalTarget localTarget;
  private final InboundContext context;
  private final RouteTables routes = new RouteTables();
  private final ProxyListener listener;
  private final Supplier<Handler<HttpServerRequest>> ingress;
  private volatile long watchTimerId = -1;

  /**
   * Creates a proxy.
   *
   * @param ingress makes a handler, for one event loop, of the calls of outside callers
   */
  public InboundProxy(
      Vertx vertx,
      TimeSource time,
      SnapshotHolder holder,
      LocalTarget localTarget,
      String ip,
      int port,
      RequestPathOptions options,
      RequestPathCounters counters,
      HopTracer tracer,
      Supplier<Handler<HttpServerRequest>> ingress) {
    this.ingress = ingress;
    this.holder = holder;
    this.localTarget = localTarget;
    this.context =
        new InboundContext(
            vertx,
            time,
            new AdmissionController(time, limits(holder.current())),
            options,
            counters,
            tracer,
            new DrainCoordinator(time, TimeUnit.MILLISECONDS.toNanos(options.drainDelayMs())),
            new TargetWarmup(time));
    this.listener =
        new ProxyListener(
            vertx,
            ip,
            port,
            options.eventLoops(),
            counters,
            () -> MAX_CONNECTIONS,
            this::newHandler);
    holder.addListener(snapshot -> context.admission().setLimits(limits(snapshot)));
  }

  private static LimitsConfig limits(Snapshot snapshot) {
    ServiceConfig own = snapshot.service(snapshot.scope().ownService());
    return own == null ? LimitsConfig.DEFAULT : own.limits();
  }

  @Override
  public Uni<Void> start() {
    watchTimerId = context.vertx().setPeriodic(TARGET_WATCH_MS, id -> watchTarget());
    return listener.start();
  }

  /** Accepts calls for the set delay, then refuses them, lets those in flight end and closes. */
  @Override
  public Uni<Void> stop() {
    context.vertx().cancelTimer(watchTimerId);
    return Uni.createFrom().completionStage(this::drain).chain(listener::stop);
  }

  private CompletableFuture<Void> drain() {
    context.drain().leaveForGood();
    CompletableFuture<Void> delay = new CompletableFuture<>();
    long delayMs = TimeUnit.NANOSECONDS.toMillis(context.drain().nanosUntilRefusal());
    context.vertx().setTimer(Math.max(1, delayMs), id -> delay.complete(null));
    return delay.thenCompose(ignored -> context.drain().close());
  }

  /** Returns the port that it listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the admission controller, for status and metrics. */
  public AdmissionController admission() {
    return context.admission();
  }

  /** Returns the calls in flight. */
  public long inFlight() {
    return context.drain().inFlight();
  }

  private Handler<HttpServerRequest> newHandler() {
    TargetPool pool = new TargetPool(context.vertx(), context.options().eventLoops());
    Handler<HttpServerRequest> outside = ingress.get();
    return request -> onRequest(request, pool, outside);
  }

  private void onRequest(
      HttpServerRequest request, TargetPool pool, Handler<HttpServerRequest> outside) {
    Snapshot snapshot = holder.current();
    String caller = request.getHeader(MeshHeaders.CALLER);
    ServiceConfig own = snapshot.service(snapshot.scope().ownService());
    if (!isPermitted(snapshot, own, caller)) {
      context.counters().refusedCallers.increment();
      refuse(request, FORBIDDEN, "caller not permitted: " + caller);
      return;
    }
    if (caller == null) {
      MeshHeaders.removeFrom(request.headers());
      outside.handle(request);
      return;
    }
    LocalTarget.Announcement target = localTarget.announcement();
    if (target == null || own == null) {
      refuse(request, UNAVAILABLE, "no target");
      return;
    }
    if (!context.drain().tryEnter()) {
      context.counters().refusedLeaving.increment();
      refuse(request, UNAVAILABLE, "the target is leaving");
      return;
    }
    RouteConfig route = routes.match(own, request.uri());
    long deadline = Deadlines.read(request, route.timeoutMs(), context.time());
    long maxBodyBytes = own.limits().maxBodyBytes();
    TargetPool.Lease lease = pool.acquire(own.limits().connections());
    new InboundCall(context, lease, request, own.name(), target, maxBodyBytes, deadline)
        .start(maxBodyBytes);
  }

  /** Starts the delay when the target leaves, whether calls arrive or not. */
  private void watchTarget() {
    LocalTarget.Announcement target = localTarget.announcement();
    if (target != null && target.leaving()) {
      context.drain().leave();
    } else {
      context.drain().stay();
    }
  }

  private static void refuse(HttpServerRequest request, int status, String reason) {
    Refusals.refuse(request, status, MeshHeaders.OUTCOME_NOT_RUN, reason);
  }

  private static boolean isPermitted(
      Snapshot snapshot, @Nullable ServiceConfig own, @Nullable String caller) {
    boolean exposed = own != null && own.exposed();
    if (caller == null) {
      return exposed;
    }
    // The node that received the call of an outside caller passes it on as its own service.
    boolean passedOn = exposed && caller.equals(snapshot.scope().ownService());
    return passedOn || snapshot.scope().permittedCallers().contains(caller);
  }
}
