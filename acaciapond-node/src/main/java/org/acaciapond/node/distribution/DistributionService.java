package org.acaciapond.node.distribution;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.protocol.message.InviteMessage;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.message.MinimumVersionRequestMessage;
import org.acaciapond.protocol.message.MinimumVersionResponseMessage;
import org.acaciapond.protocol.message.SubscribeMessage;
import org.acaciapond.protocol.message.VersionAckMessage;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Service by which new configuration versions arrive over pollers and relays. */
public final class DistributionService implements ManagedService {

  private static final Logger LOG = LogManager.getLogger(DistributionService.class);
  private static final long TICK_MS = 1_000;
  private static final long START_TICK_MS = 200;

  /** Ten seconds; leaves read the platform by then if no replica answers. */
  private static final int REPORT_AFTER_START_TICKS = 50;

  private final Vertx vertx;
  private final DistributionContext context;
  private final PlatformClient platform;
  private final ConfigStore store;
  private final GossipStore gossip;
  private final String ownService;
  private final long pollIntervalMs;
  private final Set<Long> timers = new HashSet<>();
  private final SnapshotHolder holder;
  private volatile @Nullable Roles roles;
  private int startTicks;

  /** Roles of the node, which exist from the start of the service. */
  private record Roles(
      MinimumVersionRole floor,
      PollerRole poller,
      ReplicaRole replica,
      LeafRole leaf,
      Subscribers subscribers) {}

  /**
   * Creates a service.
   *
   * @param vertx event loops and timers
   * @param time clock
   * @param random source of jitter
   * @param transport connections to other nodes
   * @param membership members of all failure domains
   * @param gossip carries the head
   * @param platform table and object store
   * @param holder snapshot in force
   * @param ownService service of the target on this host
   * @param pollIntervalMs time between reads of the head by the poller
   */
  public DistributionService(
      Vertx vertx,
      TimeSource time,
      RandomGenerator random,
      PeerTransport transport,
      MembershipView membership,
      GossipStore gossip,
      PlatformClient platform,
      SnapshotHolder holder,
      String ownService,
      long pollIntervalMs) {
    this.vertx = vertx;
    this.context = new DistributionContext(vertx, time, random, membership, transport);
    this.platform = platform;
    this.gossip = gossip;
    this.ownService = ownService;
    this.pollIntervalMs = pollIntervalMs;
    this.holder = holder;
    this.store = new ConfigStore(ownService, holder, gossip);
  }

  @Override
  public Uni<Void> start() {
    return Uni.createFrom()
        .emitter(
            emitter ->
                context.run(
                    () -> {
                      startOnLoop();
                      emitter.complete(null);
                    }));
  }

  private void startOnLoop() {
    Subscribers subscribers =
        new Subscribers(
            context.self().failureDomain(),
            store,
            domain -> context.roles(domain).replicas().size(),
            this::isPoller);
    roles =
        new Roles(
            new MinimumVersionRole(context, platform),
            new PollerRole(context, store, subscribers, platform, this::onLoop),
            new ReplicaRole(context, store),
            new LeafRole(context, store, gossip, ownService),
            subscribers);
    store.setOnActive(state -> subscribers.pushAll());
    timers.add(vertx.setPeriodic(START_TICK_MS, id -> findFloor(id)));
  }

  /** Returns what a starting node still waits for; empty once it knows its floor. */
  public Optional<String> waitingFor() {
    Roles current = roles;
    if (current == null) {
      return Optional.of("the start of the service");
    }
    return current.floor().floor().isPresent()
        ? Optional.empty()
        : Optional.of(current.floor().waitingFor());
  }

  /** Returns whether this node is the poller of its failure domain; safe on any thread. */
  public boolean isPoller() {
    Roles current = roles;
    return current != null && current.poller().isPoller();
  }

  private void findFloor(long timerId) {
    Roles current = roles;
    if (current == null) {
      return;
    }
    Member self = context.self();
    current.floor().tick(context.roles(self.failureDomain()));
    startTicks++;
    if (startTicks == REPORT_AFTER_START_TICKS) {
      LOG.warn("Not ready: waiting for {}", current.floor().waitingFor());
    }
    current
        .floor()
        .floor()
        .ifPresent(
            floor -> {
              cancel(timerId);
              LOG.info("Starting above configuration version {}", floor.sequence());
              store.setFloor(floor);
              startTicking(current);
            });
  }

  private void startTicking(Roles current) {
    tick(current);
    long phaseMs = 1 + context.random().nextLong(TICK_MS);
    timers.add(vertx.setPeriodic(phaseMs, TICK_MS, id -> tick(current)));
    timers.add(vertx.setPeriodic(phaseMs, pollIntervalMs, id -> current.poller().poll()));
  }

  private void tick(Roles current) {
    Member self = context.self();
    DomainRoles domain = context.roles(self.failureDomain());
    current.poller().tick(domain);
    boolean poller = current.poller().isPoller();
    boolean replica = domain.replicas().contains(self.hostId());
    current.replica().tick(replica && !poller);
    current.leaf().tick(!poller && !replica);
    if (poller && replica) {
      current.subscribers().recordOwn(self.hostId(), store.held().version());
    }
    // A poller may have received a version from another domain before it read the head itself.
    current.subscribers().pushAll();
    current.subscribers().notifyAllHolders();
    current.subscribers().resendUnacknowledged();
    current.poller().activateIfHeld();
  }

  private void cancel(long timerId) {
    vertx.cancelTimer(timerId);
    timers.remove(timerId);
  }

  /** Returns whether no version later than the one in force was heard of; safe on any thread. */
  public boolean hasCaughtUp() {
    return GossipHead.read(gossip)
        .map(head -> !head.isAfter(holder.current().version()))
        .orElse(true);
  }

  /** Receives a message on an accepted connection; may be called on any thread. */
  public void onMessage(PeerConnection connection, Message message) {
    context.run(() -> onLoop(connection, message));
  }

  /** Learns that an accepted connection ended; may be called on any thread. */
  public void onClose(PeerConnection connection) {
    context.run(
        () -> {
          Roles current = roles;
          if (current != null) {
            current.subscribers().remove(connection);
            current.replica().onClose(connection);
          }
        });
  }

  private void onLoop(PeerConnection connection, Message message) {
    Roles current = roles;
    if (current == null) {
      return;
    }
    if (message instanceof SubscribeMessage request) {
      current.subscribers().subscribe(connection, request);
    } else if (message instanceof VersionAckMessage held) {
      current.subscribers().onHeld(connection, held);
      current.poller().activateIfHeld();
    } else if (message instanceof MinimumVersionRequestMessage) {
      answerFloor(current, connection);
    } else if (message instanceof InviteMessage) {
      if (current.floor().floor().isPresent()) {
        current.replica().onInvite(connection);
      }
    } else {
      current.replica().onMessage(connection, message);
    }
  }

  /** Answers only once this node has caught up itself; its answer could be too low before. */
  private void answerFloor(Roles current, PeerConnection connection) {
    if (current.floor().floor().isPresent() && store.hasReachedFloor()) {
      connection.send(
          new MinimumVersionResponseMessage(context.self().hostId(), store.highestVersion()));
    } else {
      connection.close();
    }
  }

  @Override
  public Uni<Void> stop() {
    Roles current = roles;
    timers.forEach(vertx::cancelTimer);
    return current == null ? Uni.createFrom().voidItem() : current.poller().stop();
  }
}
