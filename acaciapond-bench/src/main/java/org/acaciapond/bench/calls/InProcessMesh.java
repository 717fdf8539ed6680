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

/** Proxies of several nodes in this process, without membership and platform. */
final class InProcessMesh {

  private static final int FORBIDDEN = 403;

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

  private SnapshotHolder holder(String own) {
    SnapshotHolder holder = new SnapshotHolder(Snapshot.empty(own));
    holder.offer(
        Snapshot.build(
            new ConfigVersion(1, 1, "bench"),
            Scope.of(own, config),
            config.services().stream().map(ConfigCodec::slice).toList()));
    return holder;
  }

  /** Starts the outbound listener of a service. */
  OutboundProxy outbound(String service) {
    OutboundProxy proxy =
        new OutboundProxy(
            vertx,
            TimeSource.system(),
            holder(service),
            name -> targets.getOrDefault(name, List.of()),
            called -> VersionSplit.only(called.currentVersion()),
            call -> {},
            "a",
            0,
            options,
            counters,
            HopTracer.NONE);
    proxy.start().await().indefinitely();
    return proxy;
  }

  /** Starts the inbound listener of a target and makes it known. */
  InboundProxy inbound(String service, int targetPort) {
    LocalTarget target = new LocalTarget();
    target.announce(new LocalTarget.Announcement("v1", targetPort, 1, false));
    InboundProxy proxy =
        new InboundProxy(
            vertx,
            TimeSource.system(),
            holder(service),
            target,
            "127.0.0.1",
            0,
            options,
            counters,
            HopTracer.NONE,
            () -> request -> request.response().setStatusCode(FORBIDDEN).end());
    proxy.start().await().indefinitely();
    announce(service, proxy.port());
    return proxy;
  }

  /** Makes a target known at a port. */
  void announce(String service, int port) {
    List<TargetEndpoint> known =
        targets.computeIfAbsent(service, name -> new CopyOnWriteArrayList<>());
    String host = service + "-" + known.size();
    known.add(new TargetEndpoint(host, "127.0.0.1", port, "a", service, "v1", 1, false));
  }

  /** Makes all targets of a service unknown. */
  void forget(String service) {
    targets.remove(service);
  }
}
