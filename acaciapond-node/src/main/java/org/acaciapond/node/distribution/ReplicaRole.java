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
 * Subscription of a replica to the whole configuration: of the poller that invites it; of another
 * replica of the domain while it lacks what is in force there; or of a relay of another domain
 * while no poller invites it.
 */
final class ReplicaRole {

  /** Longer than the poller lease, so that a change of poller does not cause it. */
  private static final long MAX_UNINVITED_NANOS = Duration.ofSeconds(4).toNanos();

  /** Longer than replicas need to reach one relay and acknowledge a version. */
  private static final int MAX_UNCONFIRMED_CHECKS = 5;

  private final DistributionContext context;
  private final ConfigStore store;
  private long invitedAtNanos;
  private @Nullable PeerConnection upstream;
  private @Nullable PeerConnection foreign;
  private boolean foreignIsSibling;
  private boolean connecting;
  private int siblingAttempt;
  private int foreignAttempt;
  private int unconfirmedChecks;

  ReplicaRole(DistributionContext context, ConfigStore store) {
    this.context = context;
    this.store = store;
    this.invitedAtNanos = context.time().nanoTime();
  }

  /** Subscribes to a poller that invites this node, unless it does already. */
  void onInvite(PeerConnection source) {
    invitedAtNanos = context.time().nanoTime();
    PeerConnection old = foreign;
    foreign = null;
    if (old != null && old != source) {
      old.close();
    }
    if (upstream != source) {
      upstream = source;
      subscribe(source, store.wholeDigest());
    }
  }

  /** Returns whether a poller invited this node recently. */
  boolean isInvited() {
    return context.time().nanoTime() - invitedAtNanos < MAX_UNINVITED_NANOS;
  }

  /** Subscribes to another replica or domain while no poller provides for this replica. */
  void tick(boolean isReplica) {
    if (foreign != null && foreignIsSibling && store.isComplete()) {
      foreign.close();
    }
    leaveForeignThatDoesNotConfirm();
    if (!isReplica || foreign != null || connecting) {
      return;
    }
    if (!store.isComplete()) {
      connectForeign(sibling(), true);
    } else if (!isInvited()) {
      connectForeign(foreignRelay(), false);
    }
  }

  /**
   * Starts again at the first relay when a held version is not confirmed; the replicas of a domain
   * may have come to different relays, each of which counts only some of them.
   */
  private void leaveForeignThatDoesNotConfirm() {
    boolean waits =
        foreign != null
            && !foreignIsSibling
            && store.held().version().isAfter(store.active().version());
    unconfirmedChecks = waits ? unconfirmedChecks + 1 : 0;
    if (foreign != null && unconfirmedChecks >= MAX_UNCONFIRMED_CHECKS) {
      unconfirmedChecks = 0;
      foreign.close();
    }
  }

  private void connectForeign(Optional<Member> target, boolean isSibling) {
    if (target.isPresent()) {
      connecting = true;
      foreignIsSibling = isSibling;
      context.connect(target.get(), this::onForeignOpen, this::onMessage, this::onForeignEnd);
    }
  }

  /** Returns another replica of the own domain, a different one at each attempt. */
  private Optional<Member> sibling() {
    Member self = context.self();
    List<String> replicas =
        context.roles(self.failureDomain()).replicas().stream()
            .filter(id -> !id.equals(self.hostId()))
            .toList();
    if (replicas.isEmpty()) {
      return Optional.empty();
    }
    String wanted = replicas.get(siblingAttempt % replicas.size());
    return context.membership().domainMembers(self.failureDomain()).stream()
        .filter(member -> member.hostId().equals(wanted))
        .findFirst();
  }

  private void onForeignOpen(PeerConnection opened) {
    connecting = false;
    if (upstream != null) {
      opened.close();
      return;
    }
    foreign = opened;
    upstream = opened;
    subscribe(opened, store.wholeDigest());
  }

  private void onForeignEnd() {
    connecting = false;
    if (foreignIsSibling) {
      siblingAttempt++;
    } else {
      foreignAttempt = foreign == null ? foreignAttempt + 1 : 0;
    }
    if (foreign != null) {
      upstream = upstream == foreign ? null : upstream;
      foreign = null;
    }
  }

  /**
   * Returns the relay to subscribe to; all replicas of a domain make the same choice, because that
   * relay tells them how many of them hold a version.
   */
  private Optional<Member> foreignRelay() {
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
    DomainRoles roles = context.roles(domains.get(foreignAttempt % domains.size()));
    List<String> relays = RendezvousHash.rank("upstream/" + ownDomain, roles.relays());
    String wanted = relays.get(foreignAttempt / domains.size() % relays.size());
    return others.stream().filter(member -> member.hostId().equals(wanted)).findFirst();
  }

  private void subscribe(PeerConnection target, String heldDigest) {
    Member self = context.self();
    target.send(
        new SubscribeMessage(
            self.hostId(), self.failureDomain(), "", store.wholeVersion(), heldDigest));
  }

  /** Receives a message of the upstream; those of other connections are ignored. */
  void onMessage(PeerConnection source, Message message) {
    if (source != upstream) {
      return;
    }
    if (message instanceof UpdateMessage update) {
      offer(source, UpdateMessages.fromMessage(update));
    } else if (message instanceof VersionMessage version) {
      offer(source, UpdateMessages.fromMessage(version, store.wholeDigest()));
    } else if (message instanceof ReplicaCountMessage holders) {
      store.activateHeld(holders.version());
    }
  }

  private void offer(PeerConnection source, ConfigUpdate update) {
    UpdateReceiver.Decision decision = store.offerWhole(update);
    if (decision == UpdateReceiver.Decision.NEEDS_FULL) {
      subscribe(source, "");
    } else if (decision == UpdateReceiver.Decision.ACCEPTED) {
      source.send(new VersionAckMessage(context.self().hostId(), store.wholeVersion()));
      if (source == foreign && foreignIsSibling) {
        // In force at a replica of the own domain, so enough replicas held it already.
        store.activateHeld(store.held().version());
      }
    }
  }

  void onClose(PeerConnection closed) {
    if (upstream == closed) {
      upstream = null;
    }
  }
}
