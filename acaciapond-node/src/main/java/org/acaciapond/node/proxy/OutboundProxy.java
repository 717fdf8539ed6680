package org.acaciapond.node.proxy;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.HostAndPort;
import java.util.concurrent.ThreadLocalRandom;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.routing.call.CallListener;
import org.acaciapond.routing.retry.RetryBudget;
import org.acaciapond.routing.route.RouteTables;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetSelector;
import org.acaciapond.routing.target.VersionSplits;

/** Proxy for the calls that the local target makes to other services. */
public final class OutboundProxy implements ManagedService {

  private static final int FORBIDDEN = 403;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Limit of the connections of the local target, which runs on the same host. */
  private static final int MAX_CONNECTIONS = 1_024;

  private final OutboundContext context;
  private final RouteTables routes = new RouteTables();
  private final ProxyListener listener;

  /** Creates a proxy. */
  public OutboundProxy(
      Vertx vertx,
      TimeSource time,
      SnapshotHolder holder,
      TargetDirectory directory,
      VersionSplits splits,
      CallListener calls,
      String failureDomain,
      int port,
      RequestPathOptions options,
      RequestPathCounters counters,
      HopTracer tracer) {
    this.context =
        new OutboundContext(
            vertx,
            time,
            holder,
            directory,
            splits,
            new TargetSelector(time, () -> ThreadLocalRandom.current().nextDouble(), failureDomain),
            new RetryBudget(),
            calls,
            options,
            counters,
            tracer,
            new DrainCoordinator(time, 0));
    this.listener =
        new ProxyListener(
            vertx,
            "127.0.0.1",
            port,
            options.eventLoops(),
            counters,
            () -> MAX_CONNECTIONS,
            this::newHandler);
  }

  @Override
  public Uni<Void> start() {
    return listener.start();
  }

  /** Refuses new calls, waits for those in flight and closes. */
  @Override
  public Uni<Void> stop() {
    return Uni.createFrom().completionStage(() -> context.drain().close()).chain(listener::stop);
  }

  /** Returns the port of the listener. */
  public int port() {
    return listener.port();
  }

  /** Returns the target selector, for status and metrics. */
  public TargetSelector selector() {
    return context.selector();
  }

  private Handler<HttpServerRequest> newHandler() {
    NodeClient client = new NodeClient(context.vertx(), context.counters());
    return request -> onRequest(request, client);
  }

  /**
   * Returns a handler, for one event loop, of the calls of external clients to an exposed service.
   * They are routed like calls between services, so that version splits and retries apply to them.
   */
  public Handler<HttpServerRequest> newIngressHandler() {
    NodeClient client = new NodeClient(context.vertx(), context.counters());
    return request -> route(request, client, context.holder().current().scope().ownService());
  }

  private void onRequest(HttpServerRequest request, NodeClient client) {
    route(request, client, serviceName(request));
  }

  private void route(HttpServerRequest request, NodeClient client, String name) {
    ServiceConfig service = context.holder().current().service(name);
    if (service == null) {
      context.counters().refusedCallers.increment();
      refuse(request, FORBIDDEN, "service not reachable: " + name);
      return;
    }
    if (!context.drain().tryStartCall()) {
      context.counters().refusedLeaving.increment();
      refuse(request, SERVICE_UNAVAILABLE, "this node is leaving");
      return;
    }
    RouteConfig route = routes.match(service, request.uri());
    long deadline = Deadlines.read(request, route.timeoutMs(), context.time());
    new OutboundCall(context, client, request, service, route, deadline)
        .start(service.limits().maxBodyBytes());
  }

  private static void refuse(HttpServerRequest request, int status, String reason) {
    Refusals.refuse(request, status, MeshHeaders.OUTCOME_NOT_RUN, reason);
  }

  private static String serviceName(HttpServerRequest request) {
    HostAndPort authority = request.authority();
    return authority == null ? "" : authority.host();
  }
}
