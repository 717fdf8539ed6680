package org.acaciapond.node.distribution;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.distribution.update.ConfigUpdate;
import org.acaciapond.distribution.update.UpdateReceiver;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.Member;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.message.SubscribeMessage;
import org.acaciapond.protocol.message.UpdateMessage;
import org.acaciapond.protocol.message.VersionMessage;
import org.acaciapond.protocol.transport.PeerConnection;
import org.jspecify.annotations.Nullable;

/** Leaf role: subscription to one relay of the failure domain, with failover to the next. */
final class LeafRole {

  /** Time behind the gossiped head after which the leaf changes its relay. */
  private static final long MAX_BEHIND_NANOS = Duration.ofSeconds(1).toNanos();

  /**
   * Consecutive checks in which the relay is not elected after which the leaf changes its relay;
   * the nodes may elect different relays while the members change.
   */
  private static final int MAX_DEMOTED_CHECKS = 5;

  private static final long MAX_RECONNECT_DELAY_MS = 500;

  private final DistributionContext context;
  private final ConfigStore store;
  private final GossipStore gossip;
  private final String ownService;
  private @Nullable PeerConnection connection;
  private String relayHostId = "";
  private boolean connecting;
  private boolean enabled;
  private int relayAttempt;
  private int demotedChecks;
  private long behindSinceNanos;
  private boolean isBehind;

  LeafRole(DistributionContext context, ConfigStore store, GossipStore gossip, String ownService) {
    this.context = context;
    this.store = store;
    this.gossip = gossip;
    this.ownService = ownService;
  }

  /** Maintains the subscription while this node is a leaf, and closes it otherwise. */
  void tick(boolean isLeaf) {
    enabled = isLeaf;
    PeerConnection current = connection;
    if (!enabled) {
      if (current != null) {
        current.close();
      }
    } else if (current == null) {
      connect();
    } else if (shouldLeaveRelay()) {
      current.close();
    }
  }

  private boolean shouldLeaveRelay() {
    Member self = context.self();
    DomainRoles roles = context.roles(self.failureDomain());
    demotedChecks = roles.relays().contains(relayHostId) ? 0 : demotedChecks + 1;
    return demotedChecks >= MAX_DEMOTED_CHECKS || isBehindTooLong();
  }

  private boolean isBehindTooLong() {
    Optional<ConfigVersion> head = GossipHead.read(gossip);
    boolean nowBehind = head.isPresent() && head.get().isAfter(store.snapshotVersion());
    if (nowBehind && !isBehind) {
      behindSinceNanos = context.time().nanoTime();
    }
    isBehind = nowBehind;
    return isBehind && context.time().nanoTime() - behindSinceNanos >= MAX_BEHIND_NANOS;
  }

  private void connect() {
    if (connecting || !enabled) {
      return;
    }
    Optional<Member> next = nextRelay();
    if (next.isEmpty()) {
      return;
    }
    connecting = true;
    relayHostId = next.get().hostId();
    context.connect(next.get(), this::onOpen, this::onMessage, this::onDisconnected);
  }

  private Optional<Member> nextRelay() {
    Member self = context.self();
    List<String> relayIds =
        context.roles(self.failureDomain()).relaysFor(self.hostId()).stream()
            .filter(id -> !id.equals(self.hostId()))
            .toList();
    if (relayIds.isEmpty()) {
      return Optional.empty();
    }
    String relayId = relayIds.get(relayAttempt % relayIds.size());
    return context.membership().domainMembers(self.failureDomain()).stream()
        .filter(member -> member.hostId().equals(relayId))
        .findFirst();
  }

  private void onOpen(PeerConnection opened) {
    connecting = false;
    connection = opened;
    demotedChecks = 0;
    isBehind = false;
    if (enabled) {
      subscribe(opened, store.scopedDigest());
    } else {
      opened.close();
    }
  }

  private void onDisconnected() {
    connecting = false;
    connection = null;
    relayAttempt++;
    if (enabled) {
      long delayMs = 1 + context.random().nextLong(MAX_RECONNECT_DELAY_MS);
      context.vertx().setTimer(delayMs, id -> context.run(this::connectIfDisconnected));
    }
  }

  private void connectIfDisconnected() {
    if (connection == null) {
      connect();
    }
  }

  private void subscribe(PeerConnection target, String currentDigest) {
    Member self = context.self();
    target.send(
        new SubscribeMessage(
            self.hostId(), self.failureDomain(), ownService, store.scopedVersion(), currentDigest));
  }

  private void onMessage(PeerConnection source, Message message) {
    if (message instanceof UpdateMessage update) {
      offer(source, UpdateMessages.fromMessage(update));
    } else if (message instanceof VersionMessage version) {
      offer(source, UpdateMessages.fromMessage(version, store.scopedDigest()));
    }
  }

  private void offer(PeerConnection source, ConfigUpdate update) {
    UpdateReceiver.Decision decision = store.offerScoped(update);
    if (decision == UpdateReceiver.Decision.ACCEPTED) {
      relayAttempt = 0;
    } else if (decision == UpdateReceiver.Decision.NEEDS_FULL) {
      subscribe(source, "");
    }
  }
}
