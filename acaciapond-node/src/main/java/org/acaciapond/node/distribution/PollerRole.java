package org.acaciapond.node.distribution;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.acaciapond.config.text.ConfigTextParser;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.distribution.readiness.ReplicaVersions;
import org.acaciapond.distribution.update.MeshState;
import org.acaciapond.distribution.update.ScopedContent;
import org.acaciapond.membership.Member;
import org.acaciapond.platform.client.ConfigContent;
import org.acaciapond.platform.client.ConfigFetcher;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.lease.LeaseClient;
import org.acaciapond.protocol.message.InviteMessage;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.transport.PeerConnection;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Poller role: the node of a failure domain that holds the poller lease reads the head from the
 * platform and sends new versions to the replicas.
 */
final class PollerRole {

  private static final Logger LOG = LogManager.getLogger(PollerRole.class);
  private static final Duration LEASE_DURATION = Duration.ofSeconds(3);

  /** Handler of the messages that replicas send to the poller. */
  interface ReplicaMessageHandler {
    void accept(PeerConnection connection, Message message);
  }

  private final DistributionContext context;
  private final ConfigStore store;
  private final Subscribers subscribers;
  private final PlatformClient platform;
  private final ConfigFetcher fetcher;
  private final ReplicaMessageHandler messageHandler;
  private final LeaseClient lease;
  private final Map<String, PeerConnection> replicaConnections = new HashMap<>();
  private final Set<String> connecting = new HashSet<>();
  private boolean leaseCallPending;
  private boolean readPending;
  private boolean wasPoller;
  private long nextAttemptNanos;
  private ConfigVersion rejectedVersion = ConfigVersion.NONE;

  PollerRole(
      DistributionContext context,
      ConfigStore store,
      Subscribers subscribers,
      PlatformClient platform,
      ReplicaMessageHandler messageHandler) {
    this.context = context;
    this.store = store;
    this.subscribers = subscribers;
    this.platform = platform;
    this.fetcher = new ConfigFetcher(platform);
    this.messageHandler = messageHandler;
    Member self = context.self();
    // The start time distinguishes the lease holder from the same host before a restart.
    String leaseHolder = self.hostId() + "/" + context.time().now().toEpochMilli();
    this.lease =
        new LeaseClient(
            platform,
            context.time(),
            "lease/poller/" + self.failureDomain(),
            leaseHolder,
            LEASE_DURATION);
  }

  boolean isPoller() {
    return lease.held().isPresent();
  }

  /** Renews or tries to acquire the lease, and invites the replicas. */
  void tick(DomainRoles roles) {
    String self = context.self().hostId();
    boolean poller = isPoller();
    if (poller != wasPoller) {
      wasPoller = poller;
      LOG.info(
          "Poller lease of {} is {}", context.self().failureDomain(), poller ? "held" : "gone");
    }
    if (poller) {
      inviteReplicas(roles, self);
      renew();
    } else {
      closeReplicaConnections();
      if (roles.pollerCandidates().contains(self)) {
        tryAcquire();
      }
    }
  }

  private void renew() {
    if (!leaseCallPending) {
      leaseCallPending = true;
      lease.renew().subscribe().with(result -> onLeaseCallEnd(), error -> onLeaseCallEnd());
    }
  }

  private void tryAcquire() {
    long nowNanos = context.time().nanoTime();
    if (leaseCallPending || nowNanos - nextAttemptNanos < 0) {
      return;
    }
    leaseCallPending = true;
    long delayMs = DomainRoles.attemptDelayMs(context.random());
    nextAttemptNanos = nowNanos + Duration.ofMillis(delayMs).toNanos();
    lease.acquire().subscribe().with(result -> onLeaseCallEnd(), error -> onLeaseCallEnd());
  }

  private void onLeaseCallEnd() {
    context.run(() -> leaseCallPending = false);
  }

  private void inviteReplicas(DomainRoles roles, String self) {
    replicaConnections.forEach(
        (id, connection) -> {
          if (!roles.replicas().contains(id)) {
            connection.close();
          }
        });
    for (Member member : context.membership().domainMembers(context.self().failureDomain())) {
      String id = member.hostId();
      if (!roles.replicas().contains(id) || id.equals(self)) {
        continue;
      }
      PeerConnection connection = replicaConnections.get(id);
      if (connection != null) {
        connection.send(new InviteMessage(self, member.failureDomain()));
      } else if (connecting.add(id)) {
        context.connect(
            member, opened -> onOpen(id, opened), messageHandler::accept, () -> onDisconnected(id));
      }
    }
  }

  private void onOpen(String id, PeerConnection opened) {
    connecting.remove(id);
    replicaConnections.put(id, opened);
    Member self = context.self();
    opened.send(new InviteMessage(self.hostId(), self.failureDomain()));
  }

  private void onDisconnected(String id) {
    connecting.remove(id);
    PeerConnection closed = replicaConnections.remove(id);
    if (closed != null) {
      subscribers.remove(closed);
    }
  }

  private void closeReplicaConnections() {
    replicaConnections.values().forEach(PeerConnection::close);
  }

  /** Reads the head if this node holds the lease. */
  void poll() {
    if (readPending || !isPoller()) {
      return;
    }
    readPending = true;
    platform
        .readRow(ConfigHead.KEY)
        .subscribe()
        .with(row -> context.run(() -> onHead(row)), error -> context.run(() -> onError(error)));
  }

  private void onHead(Optional<Row> row) {
    ConfigVersion version =
        row.map(r -> ConfigHead.decode(r.value()).version()).orElse(ConfigVersion.NONE);
    if (!version.isAfter(store.stored().version()) || version.equals(rejectedVersion)) {
      readPending = false;
      return;
    }
    MeshState previous = store.stored();
    fetcher
        .fetch(version, previous.version(), previous.fullContent().slices())
        .subscribe()
        .with(
            content -> context.run(() -> onContent(version, content, previous)),
            error -> context.run(() -> onError(error)));
  }

  private void onContent(ConfigVersion version, ConfigContent content, MeshState previous) {
    context
        .vertx()
        .executeBlocking(() -> build(version, content, previous), false)
        .onComplete(
            built ->
                context.run(
                    () -> {
                      if (built.succeeded()) {
                        onState(built.result());
                      } else if (content instanceof ConfigContent.Slices) {
                        fetchText(version, previous);
                      } else {
                        onBuildError(version, built.cause());
                      }
                    }));
  }

  /** Fetches the text of a version whose slices are invalid; the text decides on the version. */
  private void fetchText(ConfigVersion version, MeshState previous) {
    fetcher
        .fetchText(version)
        .subscribe()
        .with(
            text -> context.run(() -> onContent(version, text, previous)),
            error -> context.run(() -> onError(error)));
  }

  /** Builds the state; runs on a worker thread, since parsing a full text takes long. */
  private static MeshState build(ConfigVersion version, ConfigContent content, MeshState previous) {
    return content instanceof ConfigContent.Slices slices
        ? MeshState.of(version, new ScopedContent(slices.slices(), Set.of()), previous)
        : MeshState.of(
            version, ConfigTextParser.parse(((ConfigContent.Text) content).text()), previous);
  }

  private void onState(MeshState state) {
    readPending = false;
    store.storeIfNewer(state);
    Member self = context.self();
    if (context.roles(self.failureDomain()).replicas().contains(self.hostId())) {
      subscribers.recordLocalVersion(self.hostId(), state.version());
    }
    subscribers.pushAll();
    activateIfReplicated();
  }

  private void onBuildError(ConfigVersion version, Throwable error) {
    readPending = false;
    if (error instanceof ConfigException) {
      rejectedVersion = version;
      store.countInvalid(version, String.valueOf(error.getMessage()));
    } else {
      LOG.warn("Cannot build configuration version {}", version.sequence(), error);
    }
  }

  private void onError(Throwable error) {
    readPending = false;
    LOG.debug("Cannot read the configuration from the platform", error);
  }

  /** Activates the stored version once enough replicas store it. */
  void activateIfReplicated() {
    if (!isPoller()) {
      return;
    }
    Member self = context.self();
    Set<String> otherReplicas = new HashSet<>(context.roles(self.failureDomain()).replicas());
    otherReplicas.remove(self.hostId());
    ConfigVersion version = store.stored().version();
    if (ReplicaVersions.mayActivate(
        subscribers.countOtherReplicas(self.hostId(), version), otherReplicas.size())) {
      store.activateStored(version);
    }
  }

  /** Releases the lease, so that a successor does not have to wait for its expiry. */
  Uni<Void> stop() {
    return lease.release().onFailure().recoverWithNull();
  }
}
