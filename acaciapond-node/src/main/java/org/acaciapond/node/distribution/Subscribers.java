package org.acaciapond.node.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.distribution.readiness.ReplicaVersions;
import org.acaciapond.distribution.update.MeshState;
import org.acaciapond.distribution.update.SubscriptionFeed;
import org.acaciapond.protocol.message.ReplicaCountMessage;
import org.acaciapond.protocol.message.SubscribeMessage;
import org.acaciapond.protocol.message.VersionAckMessage;
import org.acaciapond.protocol.transport.PeerConnection;

/**
 * Subscriptions of other nodes to this one.
 *
 * <p>A poller sends the replicas of its domain what it holds; all other subscribers get what is in
 * force here. Used on one event loop.
 */
final class Subscribers {

  /** Checks without an acknowledgement after which an update is sent again as a whole. */
  private static final int MAX_SILENT_CHECKS = 3;

  private static final class Subscriber {
    private final SubscribeMessage request;
    private SubscriptionFeed feed;
    private ConfigVersion acknowledged;
    private ConfigVersion notified = ConfigVersion.NONE;
    private int silentChecks;

    private Subscriber(SubscribeMessage request) {
      this.request = request;
      this.acknowledged = request.held();
      this.feed = newFeed(request.held(), request.heldDigest());
    }

    private boolean wantsWhole() {
      return request.service().isEmpty();
    }

    private boolean awaitsHolders(String domain, ConfigVersion version) {
      return wantsWhole()
          && request.domain().equals(domain)
          && acknowledged.compareTo(version) >= 0
          && version.isAfter(notified);
    }

    private SubscriptionFeed newFeed(ConfigVersion held, String digest) {
      String service = request.service();
      return wantsWhole()
          ? new SubscriptionFeed(MeshState::fullContent, held, digest)
          : new SubscriptionFeed(state -> state.contentFor(service), held, digest);
    }
  }

  private final String ownDomain;
  private final ConfigStore store;
  private final ToIntFunction<String> replicaCount;
  private final BooleanSupplier isPoller;
  private final Map<PeerConnection, Subscriber> byConnection = new HashMap<>();
  private final Map<String, ReplicaVersions> tallies = new HashMap<>();

  /**
   * Creates subscriptions.
   *
   * @param ownDomain failure domain of this node
   * @param store versions of this node
   * @param replicaCount returns how many replicas a failure domain has
   * @param isPoller returns whether this node is the poller of its domain
   */
  Subscribers(
      String ownDomain,
      ConfigStore store,
      ToIntFunction<String> replicaCount,
      BooleanSupplier isPoller) {
    this.isPoller = isPoller;
    this.ownDomain = ownDomain;
    this.store = store;
    this.replicaCount = replicaCount;
  }

  void subscribe(PeerConnection connection, SubscribeMessage request) {
    Subscriber subscriber = new Subscriber(request);
    byConnection.put(connection, subscriber);
    if (subscriber.wantsWhole()) {
      tally(request.domain()).record(request.hostId(), request.held());
    }
    push(connection, subscriber);
  }

  void remove(PeerConnection connection) {
    Subscriber gone = byConnection.remove(connection);
    if (gone != null && gone.wantsWhole()) {
      recount(gone.request.domain(), gone.request.hostId());
    }
  }

  /**
   * Counts only what the open subscriptions of a replica acknowledged. The end of an old connection
   * may be noticed after the replica has subscribed on a new one.
   */
  private void recount(String domain, String hostId) {
    tally(domain).remove(hostId);
    byConnection.values().stream()
        .filter(left -> left.wantsWhole() && left.request.hostId().equals(hostId))
        .forEach(left -> tally(domain).record(hostId, left.acknowledged));
  }

  /** Sends each subscriber what it lacks. */
  void pushAll() {
    byConnection.forEach(this::push);
  }

  private void push(PeerConnection connection, Subscriber subscriber) {
    subscriber
        .feed
        .advance(source(subscriber))
        .ifPresent(update -> connection.send(UpdateMessages.toMessage(update)));
  }

  private MeshState source(Subscriber subscriber) {
    boolean own = subscriber.wantsWhole() && subscriber.request.domain().equals(ownDomain);
    return own && isPoller.getAsBoolean() ? store.held() : store.active();
  }

  /** Records an acknowledgement of a replica. */
  void onHeld(PeerConnection connection, VersionAckMessage held) {
    Subscriber subscriber = byConnection.get(connection);
    if (subscriber == null || !subscriber.wantsWhole()) {
      return;
    }
    subscriber.acknowledged = held.version();
    subscriber.silentChecks = 0;
    String domain = subscriber.request.domain();
    tally(domain).record(subscriber.request.hostId(), held.version());
    notifyHolders(domain, held.version());
  }

  /** Tells the replicas of a domain that hold a version once enough others do. */
  private void notifyHolders(String domain, ConfigVersion version) {
    int otherReplicas = replicaCount.applyAsInt(domain) - 1;
    byConnection.forEach(
        (connection, subscriber) -> {
          if (!subscriber.awaitsHolders(domain, version)) {
            return;
          }
          int others = tally(domain).countOthers(subscriber.request.hostId(), version);
          if (ReplicaVersions.mayActivate(others, otherReplicas)) {
            subscriber.notified = version;
            connection.send(new ReplicaCountMessage(version, others));
          }
        });
  }

  /** Notifies replicas anew, as the number of replicas may have become smaller. */
  void notifyAllHolders() {
    for (String domain : List.copyOf(tallies.keySet())) {
      boolean own = domain.equals(ownDomain) && isPoller.getAsBoolean();
      notifyHolders(domain, (own ? store.held() : store.active()).version());
    }
  }

  /** Records that this node, itself a replica, holds a version. */
  void recordOwn(String hostId, ConfigVersion version) {
    tally(ownDomain).record(hostId, version);
    notifyHolders(ownDomain, version);
  }

  /** Returns how many replicas of the own domain other than this node hold a version. */
  int otherHolders(String hostId, ConfigVersion version) {
    return tally(ownDomain).countOthers(hostId, version);
  }

  /** Sends the whole again to replicas that do not acknowledge what was sent. */
  void resendUnacknowledged() {
    byConnection.forEach(
        (connection, subscriber) -> {
          boolean behind = source(subscriber).version().isAfter(subscriber.acknowledged);
          subscriber.silentChecks =
              subscriber.wantsWhole() && behind ? subscriber.silentChecks + 1 : 0;
          if (subscriber.silentChecks >= MAX_SILENT_CHECKS) {
            subscriber.silentChecks = 0;
            subscriber.feed = subscriber.newFeed(subscriber.acknowledged, "");
            push(connection, subscriber);
          }
        });
  }

  private ReplicaVersions tally(String domain) {
    return tallies.computeIfAbsent(domain, name -> new ReplicaVersions());
  }
}
