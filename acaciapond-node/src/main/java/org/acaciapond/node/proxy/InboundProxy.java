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

/** Proxy for the calls that other nodes and external clients make to the local target. */
public final class InboundProxy implements ManagedService {

  private static final int FORBIDDEN = 403;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final long TARGET_CHECK_INTERVAL_MS = 200;

  /** Limit of the connections of external clients and other nodes. */
  private static final int MAX_CONNECTIONS = 16_384;

  private final SnapshotHolder holder;
  private final LocalTarget localTarget;
  private final InboundContext context;
  private final RouteTables routes = new RouteTables();
  private final ProxyListener listener;
  private final Supplier<Handler<HttpServerRequest>> ingress;
  private volatile long targetCheckTimerId = -1;

  /**
   * Creates a proxy.
   *
   * @param ingress creates the handler of calls of external clients for one event loop
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
    ServiceConfig ownService = snapshot.service(snapshot.scope().ownService());
    return ownService == null ? LimitsConfig.DEFAULT : ownService.limits();
  }

  @Override
  public Uni<Void> start() {
    targetCheckTimerId = context.vertx().setPeriodic(TARGET_CHECK_INTERVAL_MS, id -> checkTarget());
    return listener.start();
  }

  /** Accepts calls for the drain delay, then refuses them, waits for those in flight and closes. */
  @Override
  public Uni<Void> stop() {
    context.vertx().cancelTimer(targetCheckTimerId);
    return Uni.createFrom().completionStage(this::drain).chain(listener::stop);
  }

  private CompletableFuture<Void> drain() {
    context.drain().startFinalDrain();
    CompletableFuture<Void> delay = new CompletableFuture<>();
    long delayMs = TimeUnit.NANOSECONDS.toMillis(context.drain().nanosUntilRefusal());
    context.vertx().setTimer(Math.max(1, delayMs), id -> delay.complete(null));
    return delay.thenCompose(ignored -> context.drain().close());
  }

  /** Returns the port of the listener. */
  public int port() {
    return listener.port();
  }

  /** Returns the admission controller, for status and metrics. */
  public AdmissionController admission() {
    return context.admission();
  }

  /** Returns the number of calls in flight. */
  public long inFlight() {
    return context.drain().inFlight();
  }

  private Handler<HttpServerRequest> newHandler() {
    TargetPool pool = new TargetPool(context.vertx(), context.options().eventLoops());
    Handler<HttpServerRequest> ingressHandler = ingress.get();
    return request -> onRequest(request, pool, ingressHandler);
  }

  private void onRequest(
      HttpServerRequest request, TargetPool pool, Handler<HttpServerRequest> ingressHandler) {
    Snapshot snapshot = holder.current();
    String caller = request.getHeader(MeshHeaders.CALLER);
    ServiceConfig ownService = snapshot.service(snapshot.scope().ownService());
    if (!isPermitted(snapshot, ownService, caller)) {
      context.counters().refusedCallers.increment();
      refuse(request, FORBIDDEN, "caller not permitted: " + caller);
      return;
    }
    if (caller == null) {
      MeshHeaders.removeFrom(request.headers());
      ingressHandler.handle(request);
      return;
    }
    LocalTarget.Announcement target = localTarget.announcement();
    if (target == null || ownService == null) {
      refuse(request, SERVICE_UNAVAILABLE, "no target");
      return;
    }
    if (!context.drain().tryStartCall()) {
      context.counters().refusedLeaving.increment();
      refuse(request, SERVICE_UNAVAILABLE, "the target is leaving");
      return;
    }
    RouteConfig route = routes.match(ownService, request.uri());
    long deadline = Deadlines.read(request, route.timeoutMs(), context.time());
    long maxBodyBytes = ownService.limits().maxBodyBytes();
    TargetPool.Lease lease = pool.acquire(ownService.limits().connections());
    new InboundCall(
            context,
            lease,
            pool.responses(),
            request,
            ownService.name(),
            target,
            maxBodyBytes,
            deadline)
        .start(maxBodyBytes);
  }

  /** Starts draining when the target leaves, whether or not calls arrive. */
  private void checkTarget() {
    LocalTarget.Announcement target = localTarget.announcement();
    if (target != null && target.leaving()) {
      context.drain().startDrain();
    } else {
      context.drain().cancelDrain();
    }
  }

  private static void refuse(HttpServerRequest request, int status, String reason) {
    Refusals.refuse(request, status, MeshHeaders.OUTCOME_NOT_RUN, reason);
  }

  private static boolean isPermitted(
      Snapshot snapshot, @Nullable ServiceConfig ownService, @Nullable String caller) {
    boolean exposed = ownService != null && ownService.exposed();
    if (caller == null) {
      return exposed;
    }
    // The node that receives the call of an external client forwards it as a call of its service.
    boolean forwarded = exposed && caller.equals(snapshot.scope().ownService());
    return forwarded || snapshot.scope().permittedCallers().contains(caller);
  }
}
