package org.acaciapond.node;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.lifecycle.OrderedServices;
import org.acaciapond.common.settings.SettingDescriptor;
import org.acaciapond.common.settings.Settings;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.node.admin.AdminServer;
import org.acaciapond.node.distribution.DistributionService;
import org.acaciapond.node.distribution.DistributionSettings;
import org.acaciapond.node.distribution.HeadPoller;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.node.membership.MembershipService;
import org.acaciapond.node.membership.MembershipSettingDescriptors;
import org.acaciapond.node.proxy.HopTracer;
import org.acaciapond.node.proxy.InboundProxy;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.node.proxy.RequestPathCounters;
import org.acaciapond.node.proxy.RequestPathOptions;
import org.acaciapond.node.rollout.RolloutService;
import org.acaciapond.node.rollout.RolloutStatus;
import org.acaciapond.node.telemetry.JsonLinesSpanSink;
import org.acaciapond.node.telemetry.NodeMetrics;
import org.acaciapond.node.telemetry.OpenTelemetryHopTracer;
import org.acaciapond.node.telemetry.RequestPathStatus;
import org.acaciapond.node.telemetry.TelemetrySettings;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PlatformCounters;
import org.acaciapond.platform.client.RetryPolicy;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.DistributionCodecs;
import org.acaciapond.protocol.codec.EvidenceMessageCodec;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.codec.MessageCodec;
import org.acaciapond.protocol.message.EvidenceMessage;
import org.acaciapond.protocol.message.MembershipMessage;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.protocol.transport.TransportCounters;
import org.acaciapond.routing.call.CallListener;

/** Assembly of the services of one node. */
public final class NodeProcess implements ManagedService {

  /** All attempts end well before the 3 s of the poller lease, so that it can be renewed. */
  private static final RetryPolicy PLATFORM_POLICY = new RetryPolicy(3, 900, 1_800, 50, 500);

  private final Settings settings;
  private final TimeSource time;
  private final SnapshotHolder holder;
  private final LocalTarget localTarget = new LocalTarget();
  private final NodeMetrics metrics = new NodeMetrics();
  private final RequestPathCounters requestPathCounters = new RequestPathCounters();
  private final PeerTransport transport;
  private final HttpPlatformClient platform;
  private final MembershipService membership;
  private final DistributionService distribution;
  private final RolloutService rollouts;
  private final HopTracer tracer;
  private final InboundProxy inbound;
  private final OutboundProxy outbound;
  private final AdminServer admin;
  private final OrderedServices base;
  private final OrderedServices control;

  /** Creates a node that finds other nodes by its seeds. */
  public NodeProcess(Vertx vertx, Settings settings, TimeSource time) {
    this.settings = settings;
    this.time = time;
    this.holder = new SnapshotHolder(Snapshot.empty(settings.get(NodeSettings.SERVICE)));
    this.transport = newTransport(vertx);
    this.platform = newPlatformClient(vertx);
    RequestPathOptions requestPath = RequestPathOptions.of(settings);
    this.membership = newMembership(vertx, requestPath.drainDelayMs());
    this.distribution = newDistribution(vertx);
    this.rollouts = newRollouts(vertx);
    this.tracer = newTracer(settings.get(TelemetrySettings.TRACES_PER_MILLION));
    this.outbound = newOutbound(vertx, requestPath, tracer);
    this.inbound = newInbound(vertx, requestPath, tracer);
    RequestPathStatus status = new RequestPathStatus(holder, membership, outbound, inbound);
    RolloutStatus rolloutStatus =
        new RolloutStatus(
            membership, rollouts.registry(), distribution::isPoller, rollouts::isAnalyzer);
    this.admin =
        new AdminServer(
            vertx,
            holder,
            localTarget,
            port(NodeSettings.ADMIN_PORT),
            metrics,
            document -> {
              status.addTo(document);
              rolloutStatus.addTo(document);
              document.put("move_obstacle", rollouts.obstacle());
            },
            () -> polls() ? Optional.empty() : distribution.waitingFor());
    addMetrics();
    // Stopped in reverse order: the own target may call others until its last call has ended.
    this.base = new OrderedServices(List.of(transport, outbound, inbound, admin));
    ManagedService source = polls() ? newHeadPoller(vertx) : distribution;
    this.control = new OrderedServices(List.of(membership, source, rollouts));
  }

  private PeerTransport newTransport(Vertx vertx) {
    List<MessageCodec<?>> codecs = new ArrayList<>(DistributionCodecs.ALL);
    codecs.add(new MembershipMessageCodec());
    codecs.add(new EvidenceMessageCodec());
    return new PeerTransport(
        vertx,
        new CodecRegistry(codecs),
        new PeerAddress(settings.get(NodeSettings.IP), port(NodeSettings.PEER_PORT)),
        this::acceptPeer,
        MembershipSettingDescriptors.transportOptions(settings));
  }

  private HttpPlatformClient newPlatformClient(Vertx vertx) {
    PeerAddress address = PeerAddress.parse(settings.get(NodeSettings.PLATFORM));
    return new HttpPlatformClient(
        vertx, address.ip(), address.port(), PLATFORM_POLICY, time, newRandom());
  }

  private MembershipService newMembership(Vertx vertx, long drainDelayMs) {
    return new MembershipService(
        vertx,
        time,
        transport,
        this::selfRecord,
        localTarget,
        settings.get(NodeSettings.SERVICE),
        seeds(),
        platform,
        this::hasCaughtUp,
        settings.get(MembershipSettingDescriptors.SEEDS_INTERVAL_MS),
        drainDelayMs);
  }

  private DistributionService newDistribution(Vertx vertx) {
    return new DistributionService(
        vertx,
        time,
        newRandom(),
        transport,
        membership,
        membership,
        platform,
        holder,
        settings.get(NodeSettings.SERVICE),
        settings.get(NodeSettings.POLL_INTERVAL_MS));
  }

  private RolloutService newRollouts(Vertx vertx) {
    return new RolloutService(
        vertx,
        time,
        newRandom(),
        membership,
        membership,
        membership,
        transport,
        platform,
        holder,
        distribution::isPoller);
  }

  private HeadPoller newHeadPoller(Vertx vertx) {
    return new HeadPoller(
        vertx,
        platform,
        holder,
        settings.get(NodeSettings.SERVICE),
        settings.get(NodeSettings.POLL_INTERVAL_MS));
  }

  private OutboundProxy newOutbound(Vertx vertx, RequestPathOptions options, HopTracer tracer) {
    CallListener calls =
        call -> {
          metrics.onCall(call);
          rollouts.onCall(call);
        };
    return new OutboundProxy(
        vertx,
        time,
        holder,
        membership,
        rollouts.registry(),
        calls,
        settings.get(NodeSettings.FAILURE_DOMAIN),
        port(NodeSettings.OUTBOUND_PORT),
        options,
        requestPathCounters,
        tracer);
  }

  private InboundProxy newInbound(Vertx vertx, RequestPathOptions options, HopTracer tracer) {
    return new InboundProxy(
        vertx,
        time,
        holder,
        localTarget,
        settings.get(NodeSettings.IP),
        port(NodeSettings.INBOUND_PORT),
        options,
        requestPathCounters,
        tracer,
        outbound::newIngressHandler);
  }

  private static HopTracer newTracer(long perMillion) {
    return perMillion == 0
        ? HopTracer.NONE
        : new OpenTelemetryHopTracer(perMillion, JsonLinesSpanSink.toLog());
  }

  private static RandomGenerator newRandom() {
    return RandomGenerator.of("L64X128MixRandom");
  }

  private void addMetrics() {
    metrics.addRequestPath(requestPathCounters);
    metrics.addAdmission(inbound.admission());
    metrics.addEjections(() -> outbound.selector().ejectionCount());
    metrics.addSnapshots(holder);
    metrics.addTransport(transport.counters());
    metrics.addRollouts(rollouts.invariants()::violations);
  }

  private boolean polls() {
    return settings.get(DistributionSettings.DISTRIBUTION).equals(DistributionSettings.POLL);
  }

  private boolean hasCaughtUp() {
    return polls() || distribution.hasCaughtUp();
  }

  private void acceptPeer(PeerConnection connection) {
    connection.onMessage(
        message -> {
          if (message instanceof MembershipMessage) {
            membership.onMessage(connection, message);
          } else if (message instanceof EvidenceMessage evidence) {
            rollouts.onMessage(evidence);
          } else {
            distribution.onMessage(connection, message);
          }
        });
    connection.onClose(() -> distribution.onClose(connection));
  }

  private int port(SettingDescriptor<Long> descriptor) {
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
    return base.start().chain(control::start);
  }

  /** Announces that the node leaves while calls drain, then stops all services. */
  @Override
  public Uni<Void> stop() {
    return Uni.combine()
        .all()
        .unis(control.stop(), inbound.stop())
        .discardItems()
        .chain(base::stop)
        .emitOn(Infrastructure.getDefaultExecutor())
        .invoke(tracer::close);
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

  /** Returns the rollouts as this node sees them. */
  public RolloutService rollouts() {
    return rollouts;
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

  /** Returns the counters of the traffic with other nodes. */
  public TransportCounters transportCounters() {
    return transport.counters();
  }

  /** Returns the counters of the traffic with the platform. */
  public PlatformCounters platformCounters() {
    return platform.counters();
  }

  /** Returns the address of the peer listener. */
  public PeerAddress peerAddress() {
    return transport.address();
  }
}
