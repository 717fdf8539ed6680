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

/** Service that receives and distributes configuration versions over pollers and relays. */
public final class DistributionService implements ManagedService {

  private static final Logger LOG = LogManager.getLogger(DistributionService.class);
  private static final long CHECK_INTERVAL_MS = 1_000;
  private static final long START_CHECK_INTERVAL_MS = 200;

  /**
   * Number of checks before a warning that the node is not ready. They take ten seconds, by which
   * leaves without a response of a replica have read the platform.
   */
  private static final int START_CHECKS_BEFORE_WARNING = 50;

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
  private int startChecks;

  /** Roles of the node; created when the service starts. */
  private record Roles(
      MinimumVersionRole minimumVersion,
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
   * @param gossip store of the gossiped head
   * @param platform table and object store
   * @param holder holder of the active snapshot
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
                      startRoles();
                      emitter.complete(null);
                    }));
  }

  private void startRoles() {
    Subscribers subscribers =
        new Subscribers(
            context.self().failureDomain(),
            store,
            domain -> context.roles(domain).replicas().size(),
            this::isPoller);
    roles =
        new Roles(
            new MinimumVersionRole(context, platform),
            new PollerRole(context, store, subscribers, platform, this::handleMessage),
            new ReplicaRole(context, store),
            new LeafRole(context, store, gossip, ownService),
            subscribers);
    store.setActivationListener(state -> subscribers.pushAll());
    timers.add(vertx.setPeriodic(START_CHECK_INTERVAL_MS, id -> checkMinimumVersion(id)));
  }

  /** Describes what a starting node waits for; empty once it knows its minimum version. */
  public Optional<String> waitingFor() {
    Roles current = roles;
    if (current == null) {
      return Optional.of("the start of the service");
    }
    return current.minimumVersion().version().isPresent()
        ? Optional.empty()
        : Optional.of(current.minimumVersion().waitingFor());
  }

  /** Returns whether this node is the poller of its failure domain; safe on any thread. */
  public boolean isPoller() {
    Roles current = roles;
    return current != null && current.poller().isPoller();
  }

  private void checkMinimumVersion(long timerId) {
    Roles current = roles;
    if (current == null) {
      return;
    }
    Member self = context.self();
    current.minimumVersion().tick(context.roles(self.failureDomain()));
    startChecks++;
    if (startChecks == START_CHECKS_BEFORE_WARNING) {
      LOG.warn("Not ready: waiting for {}", current.minimumVersion().waitingFor());
    }
    current
        .minimumVersion()
        .version()
        .ifPresent(
            version -> {
              cancel(timerId);
              LOG.info("Minimum configuration version is {}", version.sequence());
              store.setMinimumVersion(version);
              startChecking(current);
            });
  }

  private void startChecking(Roles current) {
    tick(current);
    long phaseMs = 1 + context.random().nextLong(CHECK_INTERVAL_MS);
    timers.add(vertx.setPeriodic(phaseMs, CHECK_INTERVAL_MS, id -> tick(current)));
    timers.add(vertx.setPeriodic(phaseMs, pollIntervalMs, id -> current.poller().poll()));
  }

  private void tick(Roles current) {
    Member self = context.self();
    DomainRoles domainRoles = context.roles(self.failureDomain());
    current.poller().tick(domainRoles);
    boolean poller = current.poller().isPoller();
    boolean replica = domainRoles.replicas().contains(self.hostId());
    current.replica().tick(replica && !poller);
    current.leaf().tick(!poller && !replica);
    if (poller && replica) {
      current.subscribers().recordLocalVersion(self.hostId(), store.stored().version());
    }
    // A poller may have received a version from another domain before it read the head itself.
    current.subscribers().pushAll();
    current.subscribers().sendAllReplicaCounts();
    current.subscribers().resendUnacknowledged();
    current.poller().activateIfReplicated();
  }

  private void cancel(long timerId) {
    vertx.cancelTimer(timerId);
    timers.remove(timerId);
  }

  /** Returns whether the active version is not behind the gossiped head; safe on any thread. */
  public boolean hasCaughtUp() {
    return GossipHead.read(gossip)
        .map(head -> !head.isAfter(holder.current().version()))
        .orElse(true);
  }

  /** Handles a message on an accepted connection; safe on any thread. */
  public void onMessage(PeerConnection connection, Message message) {
    context.run(() -> handleMessage(connection, message));
  }

  /** Handles the end of an accepted connection; safe on any thread. */
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

  private void handleMessage(PeerConnection connection, Message message) {
    Roles current = roles;
    if (current == null) {
      return;
    }
    if (message instanceof SubscribeMessage request) {
      current.subscribers().subscribe(connection, request);
    } else if (message instanceof VersionAckMessage ack) {
      current.subscribers().onVersionAck(connection, ack);
      current.poller().activateIfReplicated();
    } else if (message instanceof MinimumVersionRequestMessage) {
      sendMinimumVersion(current, connection);
    } else if (message instanceof InviteMessage) {
      if (current.minimumVersion().version().isPresent()) {
        current.replica().onInvite(connection);
      }
    } else {
      current.replica().onMessage(connection, message);
    }
  }

  /**
   * Sends the highest stored version, or closes the connection while this node is below its own
   * minimum version, since its version could be too low.
   */
  private void sendMinimumVersion(Roles current, PeerConnection connection) {
    if (current.minimumVersion().version().isPresent() && store.hasReachedMinimumVersion()) {
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
