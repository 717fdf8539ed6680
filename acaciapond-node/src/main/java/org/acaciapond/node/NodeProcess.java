package org.acaciapond.node;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.List;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.settings.Settings;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.node.admin.AdminServer;
import org.acaciapond.node.distribution.HeadPoller;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.node.membership.MembershipService;
import org.acaciapond.node.membership.MembershipSettingDescriptors;
import org.acaciapond.node.proxy.HopTracer;
import org.acaciapond.node.proxy.InboundProxy;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathCounters;
import org.acaciapond.node.proxy.RequestPathOptions;
import org.acaciapond.node.telemetry.JsonLinesSpanSink;
import org.acaciapond.node.telemetry.NodeMetrics;
import org.acaciapond.node.telemetry.OpenTelemetryHopTracer;
import org.acaciapond.node.telemetry.RequestPathStatus;
import org.acaciapond.node.telemetry.TelemetrySettings;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.routing.target.VersionSplit;

/** Assembly of the services of one node. */
public final class NodeProcess implements ManagedService {

  private static final long PLATFORM_TIMEOUT_MS = 2_000;

  private final Settings settings;
  private final TimeSource time;
  private final SnapshotHolder holder;
  private final LocalTarget localTarget = new LocalTarget();
  private final NodeMetrics metrics = new NodeMetrics();
  private final RequestPathCounters requestPathCounters = new RequestPathCounters();
  private final PeerTransport transport;
  private final MembershipService membership;
  private final InboundProxy inbound;
  private final OutboundProxy outbound;
  private final AdminServer admin;
  private final List<ManagedService> services;

  /** Creates a node. */
  public NodeProcess(Vertx vertx, Settings settings, TimeSource time) {
    this.settings = settings;
    this.time = time;
    String ownService = settings.get(NodeSettings.SERVICE);
    this.holder = new SnapshotHolder(Snapshot.empty(ownService));
    String ip = settings.get(NodeSettings.IP);
    this.transport =
        new PeerTransport(
            vertx,
            new CodecRegistry(List.of(new MembershipMessageCodec())),
            new PeerAddress(ip, port(NodeSettings.PEER_PORT)),
            this::acceptPeer,
            MembershipSettingDescriptors.transportOptions(settings));
    PeerAddress platformAddress = PeerAddress.parse(settings.get(NodeSettings.PLATFORM));
    HttpPlatformClient platform =
        new HttpPlatformClient(
            vertx, platformAddress.ip(), platformAddress.port(), PLATFORM_TIMEOUT_MS);
    final HeadPoller poller =
        new HeadPoller(
            vertx, platform, holder, ownService, settings.get(NodeSettings.POLL_INTERVAL_MS));
    HopTracer tracer = newTracer(settings.get(TelemetrySettings.TRACES_PER_MILLION));
    RequestPathOptions requestPath = RequestPathOptions.of(settings);
    this.inbound =
        new InboundProxy(
            vertx,
            time,
            holder,
            localTarget,
            ip,
            port(NodeSettings.INBOUND_PORT),
            requestPath,
            requestPathCounters,
            tracer);
    this.membership =
        new MembershipService(
            vertx,
            time,
            transport,
            this::selfRecord,
            localTarget,
            ownService,
            seeds(),
            platform,
            () -> true,
            settings.get(MembershipSettingDescriptors.SEEDS_INTERVAL_MS),
            requestPath.drainDelayMs());
    this.outbound =
        new OutboundProxy(
            vertx,
            time,
            holder,
            membership,
            service -> VersionSplit.only(service.currentVersion()),
            metrics,
            settings.get(NodeSettings.FAILURE_DOMAIN),
            port(NodeSettings.OUTBOUND_PORT),
            requestPath,
            requestPathCounters,
            tracer);
    RequestPathStatus status = new RequestPathStatus(holder, membership, outbound, inbound);
    this.admin =
        new AdminServer(
            vertx, holder, localTarget, port(NodeSettings.ADMIN_PORT), metrics, status::addTo);
    addMetrics();
    // Stopped in reverse order: the own target may call others until its last call has ended.
    this.services = List.of(transport, outbound, inbound, admin, poller, membership);
  }

  private static HopTracer newTracer(long perMillion) {
    return perMillion == 0
        ? HopTracer.NONE
        : new OpenTelemetryHopTracer(perMillion, JsonLinesSpanSink.toLog());
  }

  private void addMetrics() {
    metrics.addRequestPath(requestPathCounters);
    metrics.addAdmission(inbound.admission());
    metrics.addEjections(() -> outbound.selector().ejectionCount());
    metrics.addSnapshots(holder);
    metrics.addTransport(transport.counters());
  }

  private void acceptPeer(PeerConnection connection) {
    connection.onMessage(message -> membership.onMessage(connection, message));
  }

  private int port(org.acaciapond.common.settings.SettingDescriptor<Long> descriptor) {
    return settings.get(descriptor).intValue();
  }

  private List<NodeAddress> seeds() {
    return Arrays.stream(settings.get(NodeSettings.SEEDS))
        .map(PeerAddress::parse)
        .map(address -> new NodeAddress(address.ip(), address.port()))
        .toList();
  }

  private Member selfRecord() {
    boolean started = transport.isListening();
    return new Member(
        settings.get(NodeSettings.HOST_ID),
        time.now().toEpochMilli(),
        settings.get(NodeSettings.IP),
        started ? transport.address().port() : port(NodeSettings.PEER_PORT),
        started ? inbound.port() : port(NodeSettings.INBOUND_PORT),
        settings.get(NodeSettings.FAILURE_DOMAIN),
        settings.get(NodeSettings.REGION),
        "",
        "",
        1,
        MemberState.ALIVE);
  }

  @Override
  public Uni<Void> start() {
    Uni<Void> chain = Uni.createFrom().voidItem();
    for (ManagedService service : services) {
      chain = chain.chain(service::start);
    }
    return chain;
  }

  @Override
  public Uni<Void> stop() {
    Uni<Void> chain = Uni.createFrom().voidItem();
    for (int i = services.size() - 1; i >= 0; i--) {
      chain = chain.chain(services.get(i)::stop);
    }
    return chain;
  }

  /** Returns the holder of the snapshot in force. */
  public SnapshotHolder snapshots() {
    return holder;
  }

  /** Returns the holder of the announcement of the target. */
  public LocalTarget localTarget() {
    return localTarget;
  }

  /** Returns the membership of this node. */
  public MembershipService membership() {
    return membership;
  }

  /** Returns the port of the outbound listener. */
  public int outboundPort() {
    return outbound.port();
  }

  /** Returns the port of the inbound listener. */
  public int inboundPort() {
    return inbound.port();
  }

  /** Returns the port of the admin listener. */
  public int adminPort() {
    return admin.port();
  }

  /** Returns the address of the peer listener. */
  public PeerAddress peerAddress() {
    return transport.address();
  }
}
