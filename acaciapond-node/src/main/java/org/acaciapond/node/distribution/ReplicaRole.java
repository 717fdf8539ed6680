package org.acaciapond.node.distribution;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.distribution.update.ConfigUpdate;
import org.acaciapond.distribution.update.UpdateReceiver;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.RendezvousHash;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.message.ReplicaCountMessage;
import org.acaciapond.protocol.message.SubscribeMessage;
import org.acaciapond.protocol.message.UpdateMessage;
import org.acaciapond.protocol.message.VersionAckMessage;
import org.acaciapond.protocol.message.VersionMessage;
import org.acaciapond.protocol.transport.PeerConnection;
import org.jspecify.annotations.Nullable;

/**
 * Replica role: subscription to the full configuration.
 *
 * <p>The replica subscribes to the poller that invites it. Its fallbacks are another replica of the
 * failure domain while it lacks the version that is active there, and a relay of another failure
 * domain while no poller invites it.
 */
final class ReplicaRole {

  /** Longer than the poller lease, so that a change of the poller does not start the fallback. */
  private static final long MAX_UNINVITED_NANOS = Duration.ofSeconds(4).toNanos();

  /**
   * Number of checks with an unconfirmed version after which the fallback is closed; they take
   * longer than replicas need to connect to one relay and acknowledge a version.
   */
  private static final int MAX_UNCONFIRMED_CHECKS = 5;

  private final DistributionContext context;
  private final ConfigStore store;
  private long lastInviteNanos;
  private @Nullable PeerConnection upstream;
  private @Nullable PeerConnection fallback;
  private boolean fallbackIsSameDomain;
  private boolean connecting;
  private int sameDomainAttempt;
  private int otherDomainAttempt;
  private int unconfirmedChecks;

  ReplicaRole(DistributionContext context, ConfigStore store) {
    this.context = context;
    this.store = store;
    this.lastInviteNanos = context.time().nanoTime();
  }

  /** Subscribes to a poller that invites this node, unless already subscribed to it. */
  void onInvite(PeerConnection source) {
    lastInviteNanos = context.time().nanoTime();
    PeerConnection oldFallback = fallback;
    fallback = null;
    if (oldFallback != null && oldFallback != source) {
      oldFallback.close();
    }
    if (upstream != source) {
      upstream = source;
      subscribe(source, store.fullDigest());
    }
  }

  /** Returns whether a poller invited this node recently. */
  boolean isInvited() {
    return context.time().nanoTime() - lastInviteNanos < MAX_UNINVITED_NANOS;
  }

  /** Maintains the fallback subscription while this replica has no poller. */
  void tick(boolean isReplica) {
    if (fallback != null && fallbackIsSameDomain && store.isComplete()) {
      fallback.close();
    }
    closeUnconfirmedFallback();
    if (!isReplica || fallback != null || connecting) {
      return;
    }
    if (!store.isComplete()) {
      connectFallback(nextSameDomainReplica(), true);
    } else if (!isInvited()) {
      connectFallback(nextOtherDomainRelay(), false);
    }
  }

  /**
   * Closes the fallback connection if a stored version is not confirmed, so that this replica
   * starts again at the first relay. The replicas of a domain may have subscribed to different
   * relays, each of which counts only some of them.
   */
  private void closeUnconfirmedFallback() {
    boolean awaitsConfirmation =
        fallback != null
            && !fallbackIsSameDomain
            && store.stored().version().isAfter(store.active().version());
    unconfirmedChecks = awaitsConfirmation ? unconfirmedChecks + 1 : 0;
    if (fallback != null && unconfirmedChecks >= MAX_UNCONFIRMED_CHECKS) {
      unconfirmedChecks = 0;
      fallback.close();
    }
  }

  private void connectFallback(Optional<Member> target, boolean isSameDomain) {
    if (target.isPresent()) {
      connecting = true;
      fallbackIsSameDomain = isSameDomain;
      context.connect(
          target.get(), this::onFallbackOpen, this::onMessage, this::onFallbackDisconnected);
    }
  }

  /** Returns another replica of the same failure domain, a different one at each attempt. */
  private Optional<Member> nextSameDomainReplica() {
    Member self = context.self();
    List<String> replicas =
        context.roles(self.failureDomain()).replicas().stream()
            .filter(id -> !id.equals(self.hostId()))
            .toList();
    if (replicas.isEmpty()) {
      return Optional.empty();
    }
    String replicaId = replicas.get(sameDomainAttempt % replicas.size());
    return context.membership().domainMembers(self.failureDomain()).stream()
        .filter(member -> member.hostId().equals(replicaId))
        .findFirst();
  }

  private void onFallbackOpen(PeerConnection opened) {
    connecting = false;
    if (upstream != null) {
      opened.close();
      return;
    }
    fallback = opened;
    upstream = opened;
    subscribe(opened, store.fullDigest());
  }

  private void onFallbackDisconnected() {
    connecting = false;
    if (fallbackIsSameDomain) {
      sameDomainAttempt++;
    } else {
      otherDomainAttempt = fallback == null ? otherDomainAttempt + 1 : 0;
    }
    if (fallback != null) {
      upstream = upstream == fallback ? null : upstream;
      fallback = null;
    }
  }

  /**
   * Returns the relay of another failure domain to subscribe to. All replicas of a domain choose
   * the same relay, because that relay counts how many of them store a version.
   */
  private Optional<Member> nextOtherDomainRelay() {
    String ownDomain = context.self().failureDomain();
    List<Member> others =
        context.membership().members().stream()
            .filter(member -> !member.failureDomain().equals(ownDomain))
            .toList();
    List<String> domains =
        RendezvousHash.rank(
            "upstream/" + ownDomain, others.stream().map(Member::failureDomain).toList());
    if (domains.isEmpty()) {
      return Optional.empty();
    }
    DomainRoles roles = context.roles(domains.get(otherDomainAttempt % domains.size()));
    List<String> relays = RendezvousHash.rank("upstream/" + ownDomain, roles.relays());
    String relayId = relays.get(otherDomainAttempt / domains.size() % relays.size());
    return others.stream().filter(member -> member.hostId().equals(relayId)).findFirst();
  }

  private void subscribe(PeerConnection target, String currentDigest) {
    Member self = context.self();
    target.send(
        new SubscribeMessage(
            self.hostId(), self.failureDomain(), "", store.fullVersion(), currentDigest));
  }

  /** Handles a message of the upstream connection; messages of other connections are ignored. */
  void onMessage(PeerConnection source, Message message) {
    if (source != upstream) {
      return;
    }
    if (message instanceof UpdateMessage update) {
      offer(source, UpdateMessages.fromMessage(update));
    } else if (message instanceof VersionMessage version) {
      offer(source, UpdateMessages.fromMessage(version, store.fullDigest()));
    } else if (message instanceof ReplicaCountMessage replicaCount) {
      store.activateStored(replicaCount.version());
    }
  }

  private void offer(PeerConnection source, ConfigUpdate update) {
    UpdateReceiver.Decision decision = store.offerFull(update);
    if (decision == UpdateReceiver.Decision.NEEDS_FULL) {
      subscribe(source, "");
    } else if (decision == UpdateReceiver.Decision.ACCEPTED) {
      source.send(new VersionAckMessage(context.self().hostId(), store.fullVersion()));
      if (source == fallback && fallbackIsSameDomain) {
        // Active at a replica of the same domain, so enough replicas store it already.
        store.activateStored(store.stored().version());
      }
    }
  }

  void onClose(PeerConnection closed) {
    if (upstream == closed) {
      upstream = null;
    }
  }
}
