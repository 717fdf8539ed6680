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

/** Reading of the head by the one node of a domain that holds the poller lease. */
final class PollerRole {

  private static final Logger LOG = LogManager.getLogger(PollerRole.class);
  private static final Duration LEASE_TIME = Duration.ofSeconds(3);

  /** Receiver of the messages that replicas send to the poller. */
  interface ReplicaMessages {
    void accept(PeerConnection connection, Message message);
  }

  private final DistributionContext context;
  private final ConfigStore store;
  private final Subscribers subscribers;
  private final PlatformClient platform;
  private final ConfigFetcher fetcher;
  private final ReplicaMessages messages;
  private final LeaseClient lease;
  private final Map<String, PeerConnection> replicas = new HashMap<>();
  private final Set<String> connecting = new HashSet<>();
  private boolean leaseBusy;
  private boolean reading;
  private boolean wasPoller;
  private long nextAttemptNanos;
  private ConfigVersion refused = ConfigVersion.NONE;

  PollerRole(
      DistributionContext context,
      ConfigStore store,
      Subscribers subscribers,
      PlatformClient platform,
      ReplicaMessages messages) {
    this.context = context;
    this.store = store;
    this.subscribers = subscribers;
    this.platform = platform;
    this.fetcher = new ConfigFetcher(platform);
    this.messages = messages;
    Member self = context.self();
    // The start time makes the holder differ from the same host before a restart.
    String holder = self.hostId() + "/" + context.time().now().toEpochMilli();
    this.lease =
        new LeaseClient(
            platform, context.time(), "lease/poller/" + self.failureDomain(), holder, LEASE_TIME);
  }

  boolean isPoller() {
    return lease.held().isPresent();
  }

  /** Renews or tries to take the lease, and invites the replicas. */
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
      closeAll();
      if (roles.pollerCandidates().contains(self)) {
        tryAcquire();
      }
    }
  }

  private void renew() {
    if (!leaseBusy) {
      leaseBusy = true;
      lease.renew().subscribe().with(result -> endLeaseCall(), error -> endLeaseCall());
    }
  }

  private void tryAcquire() {
    long nowNanos = context.time().nanoTime();
    if (leaseBusy || nowNanos - nextAttemptNanos < 0) {
      return;
    }
    leaseBusy = true;
    long delayMs = DomainRoles.attemptDelayMs(context.random());
    nextAttemptNanos = nowNanos + Duration.ofMillis(delayMs).toNanos();
    lease.acquire().subscribe().with(result -> endLeaseCall(), error -> endLeaseCall());
  }

  private void endLeaseCall() {
    context.run(() -> leaseBusy = false);
  }

  private void inviteReplicas(DomainRoles roles, String self) {
    replicas.forEach(
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
      PeerConnection connection = replicas.get(id);
      if (connection != null) {
        connection.send(new InviteMessage(self, member.failureDomain()));
      } else if (connecting.add(id)) {
        context.connect(member, opened -> onOpen(id, opened), messages::accept, () -> onEnd(id));
      }
    }
  }

  private void onOpen(String id, PeerConnection opened) {
    connecting.remove(id);
    replicas.put(id, opened);
    Member self = context.self();
    opened.send(new InviteMessage(self.hostId(), self.failureDomain()));
  }

  private void onEnd(String id) {
    connecting.remove(id);
    PeerConnection gone = replicas.remove(id);
    if (gone != null) {
      subscribers.remove(gone);
    }
  }

  private void closeAll() {
    replicas.values().forEach(PeerConnection::close);
  }

  /** Reads the head if this node holds the lease. */
  void poll() {
    if (reading || !isPoller()) {
      return;
    }
    reading = true;
    platform
        .readRow(ConfigHead.KEY)
        .subscribe()
        .with(row -> context.run(() -> onHead(row)), error -> context.run(() -> onError(error)));
  }

  private void onHead(Optional<Row> row) {
    ConfigVersion version =
        row.map(r -> ConfigHead.decode(r.value()).version()).orElse(ConfigVersion.NONE);
    if (!version.isAfter(store.held().version()) || version.equals(refused)) {
      reading = false;
      return;
    }
    MeshState previous = store.held();
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
                        onParseError(version, built.cause());
                      }
                    }));
  }

  /** Lets the text decide about a version whose slices are refused. */
  private void fetchText(ConfigVersion version, MeshState previous) {
    fetcher
        .fetchText(version)
        .subscribe()
        .with(
            text -> context.run(() -> onContent(version, text, previous)),
            error -> context.run(() -> onError(error)));
  }

  /** Builds the state on a worker thread, since a whole text takes long to parse. */
  private static MeshState build(ConfigVersion version, ConfigContent content, MeshState previous) {
    return content instanceof ConfigContent.Slices slices
        ? MeshState.of(version, new ScopedContent(slices.slices(), Set.of()), previous)
        : MeshState.of(
            version, ConfigTextParser.parse(((ConfigContent.Text) content).text()), previous);
  }

  private void onState(MeshState state) {
    reading = false;
    store.hold(state);
    Member self = context.self();
    if (context.roles(self.failureDomain()).replicas().contains(self.hostId())) {
      subscribers.recordOwn(self.hostId(), state.version());
    }
    subscribers.pushAll();
    activateIfHeld();
  }

  private void onParseError(ConfigVersion version, Throwable error) {
    reading = false;
    if (error instanceof ConfigException) {
      refused = version;
      store.countInvalid(version, String.valueOf(error.getMessage()));
    } else {
      LOG.warn("Cannot parse configuration version {}", version.sequence(), error);
    }
  }

  private void onError(Throwable error) {
    reading = false;
    LOG.debug("Cannot read the platform", error);
  }

  /** Puts the held version in force once enough replicas hold it. */
  void activateIfHeld() {
    if (!isPoller()) {
      return;
    }
    Member self = context.self();
    Set<String> others = new HashSet<>(context.roles(self.failureDomain()).replicas());
    others.remove(self.hostId());
    ConfigVersion version = store.held().version();
    if (ReplicaVersions.mayActivate(
        subscribers.otherHolders(self.hostId(), version), others.size())) {
      store.activateHeld(version);
    }
  }

  /** Gives up the lease, so that a successor need not wait for its expiry. */
  Uni<Void> stop() {
    return lease.release().onFailure().recoverWithNull();
  }
}
