package org.acaciapond.node;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.settings.Settings;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.Snapshot;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.node.admin.AdminServer;
import org.acaciapond.node.distribution.AnnounceMembershipView;
import org.acaciapond.node.distribution.DistributionService;
import org.acaciapond.node.distribution.DistributionSettings;
import org.acaciapond.node.distribution.HeadPoller;
import org.acaciapond.node.distribution.LocalGossipStore;
import org.acaciapond.node.membership.AnnounceService;
import org.acaciapond.node.membership.LocalTarget;
import org.acaciapond.node.proxy.InboundProxy;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PlatformCounters;
import org.acaciapond.platform.client.RetryPolicy;
import org.acaciapond.protocol.codec.AnnounceMessageCodec;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.DistributionCodecs;
import org.acaciapond.protocol.codec.MessageCodec;
import org.acaciapond.protocol.message.AnnounceMessage;
import org.acaciapond.protocol.message.MemberRecord;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.protocol.transport.TransportCounters;
import org.jspecify.annotations.Nullable;

/** Assembly of the services of one node. */
public final class NodeProcess implements ManagedService {

  /** All attempts end well before the 3 s of the poller lease, so that it can be renewed. */
  private static final RetryPolicy PLATFORM_POLICY = new RetryPolicy(3, 900, 1_800, 50, 500);

  private final Settings settings;
  private final TimeSource time;
  private final SnapshotHolder holder;
  private final LocalTarget localTarget = new LocalTarget();
  private final PeerTransport transport;
  private final AnnounceService announce;
  private final InboundProxy inbound;
  private final OutboundProxy outbound;
  private final AdminServer admin;
  private final HttpPlatformClient platform;
  private final DistributionService distribution;
  private final List<ManagedService> services;

  /** Creates a node that announces itself to others. */
  public NodeProcess(Vertx vertx, Settings settings, TimeSource time) {
    this(vertx, settings, time, null);
  }

  /**
   * Creates a node.
   *
   * @param vertx event loops to use
   * @param settings settings of the node
   * @param time clock
   * @param fixedMembers members of the mesh when they are given rather than announced, or null
   */
  public NodeProcess(
      Vertx vertx, Settings settings, TimeSource time, @Nullable MembershipView fixedMembers) {
    this.settings = settings;
    this.time = time;
    String ownService = settings.get(NodeSettings.SERVICE);
    this.holder = new SnapshotHolder(Snapshot.empty(ownService));
    String ip = settings.get(NodeSettings.IP);
    this.transport =
        new PeerTransport(
            vertx,
            new CodecRegistry(codecs()),
            new PeerAddress(ip, port(NodeSettings.PEER_PORT)),
            this::acceptPeer);
    this.announce =
        new AnnounceService(
            vertx,
            time,
            transport,
            Arrays.stream(settings.get(NodeSettings.SEEDS)).map(PeerAddress::parse).toList(),
            this::selfRecord,
            settings.get(NodeSettings.ANNOUNCE_INTERVAL_MS));
    this.inbound =
        new InboundProxy(vertx, holder, localTarget, ip, port(NodeSettings.INBOUND_PORT));
    this.outbound = new OutboundProxy(vertx, holder, announce, port(NodeSettings.OUTBOUND_PORT));
    this.admin = new AdminServer(vertx, holder, localTarget, port(NodeSettings.ADMIN_PORT));
    PeerAddress platformAddress = PeerAddress.parse(settings.get(NodeSettings.PLATFORM));
    this.platform =
        new HttpPlatformClient(
            vertx,
            platformAddress.ip(),
            platformAddress.port(),
            PLATFORM_POLICY,
            time,
            RandomGenerator.of("L64X128MixRandom"));
    long pollIntervalMs = settings.get(NodeSettings.POLL_INTERVAL_MS);
    this.distribution =
        new DistributionService(
            vertx,
            time,
            RandomGenerator.of("L64X128MixRandom"),
            transport,
            fixedMembers == null
                ? new AnnounceMembershipView(announce, settings.get(NodeSettings.REGION))
                : fixedMembers,
            new LocalGossipStore(),
            platform,
            holder,
            ownService,
            pollIntervalMs);
    ManagedService source =
        settings.get(DistributionSettings.DISTRIBUTION).equals(DistributionSettings.POLL)
            ? new HeadPoller(vertx, platform, holder, ownService, pollIntervalMs)
            : distribution;
    this.services =
        fixedMembers == null
            ? List.of(transport, inbound, outbound, admin, announce, source)
            : List.of(transport, inbound, outbound, admin, source);
  }

  private static List<MessageCodec<?>> codecs() {
    List<MessageCodec<?>> codecs = new ArrayList<>(DistributionCodecs.ALL);
    codecs.add(new AnnounceMessageCodec());
    return codecs;
  }

  private void acceptPeer(PeerConnection connection) {
    connection.onMessage(
        message -> {
          if (message instanceof AnnounceMessage) {
            announce.onMessage(message);
          } else {
            distribution.onMessage(connection, message);
          }
        });
    connection.onClose(() -> distribution.onClose(connection));
  }

  private int port(org.acaciapond.common.settings.SettingDescriptor<Long> descriptor) {
    return settings.get(descriptor).intValue();
  }

  private MemberRecord selfRecord() {
    LocalTarget.Announcement target = localTarget.announcement();
    return new MemberRecord(
        settings.get(NodeSettings.HOST_ID),
        time.now().toEpochMilli(),
        settings.get(NodeSettings.IP),
        transport.address().port(),
        inbound.port(),
        settings.get(NodeSettings.FAILURE_DOMAIN),
        target == null ? "" : settings.get(NodeSettings.SERVICE),
        target == null ? "" : target.version(),
        target == null ? 1 : target.weight(),
        target != null && target.leaving());
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
