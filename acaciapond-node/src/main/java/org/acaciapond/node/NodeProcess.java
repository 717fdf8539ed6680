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

/** Process of one node; creates its services and starts and stops them in order. */
public final class NodeProcess implements ManagedService {

  /** All attempts end well within the poller lease of 3 s, so that it can be renewed in time. */
  private static final RetryPolicy PLATFORM_RETRY_POLICY = new RetryPolicy(3, 900, 1_800, 50, 500);

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
  private final OrderedServices requestServices;
  private final OrderedServices controlServices;

  /** Creates a node that discovers other nodes through the configured seeds. */
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
              document.put("move_obstacle", rollouts.waitReason());
            },
            () -> usesPolling() ? Optional.empty() : distribution.waitingFor());
    addMetrics();
    // Stopped in reverse order: the local target may call other services until its last inbound
    // call has ended.
    this.requestServices = new OrderedServices(List.of(transport, outbound, inbound, admin));
    ManagedService configSource = usesPolling() ? newHeadPoller(vertx) : distribution;
    this.controlServices = new OrderedServices(List.of(membership, configSource, rollouts));
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
        vertx, address.ip(), address.port(), PLATFORM_RETRY_POLICY, time, newRandom());
  }

  private MembershipService newMembership(Vertx vertx, long drainDelayMs) {
    return new MembershipService(
        vertx,
        time,
        transport,
        this::newSelfMember,
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

  private boolean usesPolling() {
    return settings.get(DistributionSettings.DISTRIBUTION).equals(DistributionSettings.POLL);
  }

  private boolean hasCaughtUp() {
    return usesPolling() || distribution.hasCaughtUp();
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

  private Member newSelfMember() {
    boolean listening = transport.isListening();
    return new Member(
        settings.get(NodeSettings.HOST_ID),
        time.now().toEpochMilli(),
        settings.get(NodeSettings.IP),
        listening ? transport.address().port() : port(NodeSettings.PEER_PORT),
        listening ? inbound.port() : port(NodeSettings.INBOUND_PORT),
        settings.get(NodeSettings.FAILURE_DOMAIN),
        settings.get(NodeSettings.REGION),
        "",
        "",
        1,
        MemberState.ALIVE);
  }

  @Override
  public Uni<Void> start() {
    return requestServices.start().chain(controlServices::start);
  }

  /** Announces that the node is leaving and drains its calls, then stops all services. */
  @Override
  public Uni<Void> stop() {
    return Uni.combine()
        .all()
        .unis(controlServices.stop(), inbound.stop())
        .discardItems()
        .chain(requestServices::stop)
        .emitOn(Infrastructure.getDefaultExecutor())
        .invoke(tracer::close);
  }

  /** Returns the holder of the active snapshot. */
  public SnapshotHolder snapshots() {
    return holder;
  }

  /** Returns the local target with its announcement. */
  public LocalTarget localTarget() {
    return localTarget;
  }

  /** Returns the membership service. */
  public MembershipService membership() {
    return membership;
  }

  /** Returns the rollout service. */
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

  /** Returns the counters of traffic with other nodes. */
  public TransportCounters transportCounters() {
    return transport.counters();
  }

  /** Returns the counters of traffic with the platform. */
  public PlatformCounters platformCounters() {
    return platform.counters();
  }

  /** Returns the address of the peer listener. */
  public PeerAddress peerAddress() {
    return transport.address();
  }
}
