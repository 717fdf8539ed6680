package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.snapshot.Scope;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.node.proxy.HopTracer;
import org.acaciapond.node.proxy.InboundProxy;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathCounters;
import org.acaciapond.node.proxy.RequestPathOptions;
import org.acaciapond.routing.target.TargetEndpoint;
import org.acaciapond.routing.target.VersionSplit;

/** Proxies of several nodes that run in this process, without membership and platform. */
final class InProcessMesh {

  private static final int STATUS_FORBIDDEN = 403;

  final RequestPathCounters counters = new RequestPathCounters();
  private final Vertx vertx;
  private final MeshConfig config;
  private final RequestPathOptions options;
  private final Map<String, List<TargetEndpoint>> targets = new ConcurrentHashMap<>();

  InProcessMesh(Vertx vertx, MeshConfig config, RequestPathOptions options) {
    this.vertx = vertx;
    this.config = config;
    this.options = options;
  }

  private SnapshotHolder newSnapshotHolder(String ownService) {
    SnapshotHolder holder = new SnapshotHolder(Snapshot.empty(ownService));
    holder.offer(
        Snapshot.build(
            new ConfigVersion(1, 1, "bench"),
            Scope.of(ownService, config),
            config.services().stream().map(ConfigCodec::slice).toList()));
    return holder;
  }

  /** Starts the outbound proxy of a service. */
  OutboundProxy startOutbound(String service) {
    OutboundProxy proxy =
        new OutboundProxy(
            vertx,
            TimeSource.system(),
            newSnapshotHolder(service),
            name -> targets.getOrDefault(name, List.of()),
            calledService -> VersionSplit.only(calledService.currentVersion()),
            call -> {},
            "a",
            0,
            options,
            counters,
            HopTracer.NONE);
    proxy.start().await().indefinitely();
    return proxy;
  }

  /** Starts the inbound proxy of a target and adds its port to the known targets. */
  InboundProxy startInbound(String service, int targetPort) {
    LocalTarget target = new LocalTarget();
    target.announce(new LocalTarget.Announcement("v1", targetPort, 1, false));
    InboundProxy proxy =
        new InboundProxy(
            vertx,
            TimeSource.system(),
            newSnapshotHolder(service),
            target,
            "127.0.0.1",
            0,
            options,
            counters,
            HopTracer.NONE,
            () -> request -> request.response().setStatusCode(STATUS_FORBIDDEN).end());
    proxy.start().await().indefinitely();
    addTarget(service, proxy.port());
    return proxy;
  }

  /** Adds a target of a service, reached at a port, to the known targets. */
  void addTarget(String service, int port) {
    List<TargetEndpoint> endpoints =
        targets.computeIfAbsent(service, name -> new CopyOnWriteArrayList<>());
    String host = service + "-" + endpoints.size();
    endpoints.add(new TargetEndpoint(host, "127.0.0.1", port, "a", service, "v1", 1, false));
  }

  /** Removes all targets of a service from the known targets. */
  void removeTargets(String service) {
    targets.remove(service);
  }
}
