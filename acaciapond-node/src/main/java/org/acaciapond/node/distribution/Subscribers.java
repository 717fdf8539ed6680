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
 * Registry of the subscriptions of other nodes to this node.
 *
 * <p>A poller sends its stored version to the replicas of its failure domain; all other subscribers
 * receive the active version. Confined to one event loop.
 */
final class Subscribers {

  /** Number of checks without an acknowledgement after which a full update is sent. */
  private static final int MAX_UNACKNOWLEDGED_CHECKS = 3;

  private static final class Subscriber {
    private final SubscribeMessage request;
    private SubscriptionFeed feed;
    private ConfigVersion acknowledgedVersion;
    private ConfigVersion notifiedVersion = ConfigVersion.NONE;
    private int unacknowledgedChecks;

    private Subscriber(SubscribeMessage request) {
      this.request = request;
      this.acknowledgedVersion = request.currentVersion();
      this.feed = newFeed(request.currentVersion(), request.currentDigest());
    }

    private boolean wantsFullConfig() {
      return request.service().isEmpty();
    }

    private boolean awaitsReplicaCount(String domain, ConfigVersion version) {
      return wantsFullConfig()
          && request.domain().equals(domain)
          && acknowledgedVersion.compareTo(version) >= 0
          && version.isAfter(notifiedVersion);
    }

    private SubscriptionFeed newFeed(ConfigVersion version, String digest) {
      String service = request.service();
      return wantsFullConfig()
          ? new SubscriptionFeed(MeshState::fullContent, version, digest)
          : new SubscriptionFeed(state -> state.contentFor(service), version, digest);
    }
  }

  private final String ownDomain;
  private final ConfigStore store;
  private final ToIntFunction<String> replicaCount;
  private final BooleanSupplier isPoller;
  private final Map<PeerConnection, Subscriber> byConnection = new HashMap<>();
  private final Map<String, ReplicaVersions> versionsByDomain = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param ownDomain failure domain of this node
   * @param store configuration versions of this node
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
    if (subscriber.wantsFullConfig()) {
      replicaVersions(request.domain()).record(request.hostId(), request.currentVersion());
    }
    push(connection, subscriber);
  }

  void remove(PeerConnection connection) {
    Subscriber removed = byConnection.remove(connection);
    if (removed != null && removed.wantsFullConfig()) {
      recount(removed.request.domain(), removed.request.hostId());
    }
  }

  /**
   * Recomputes the version of a replica from its open subscriptions. The end of an old connection
   * may be noticed after the replica has subscribed on a new one.
   */
  private void recount(String domain, String hostId) {
    replicaVersions(domain).remove(hostId);
    byConnection.values().stream()
        .filter(other -> other.wantsFullConfig() && other.request.hostId().equals(hostId))
        .forEach(other -> replicaVersions(domain).record(hostId, other.acknowledgedVersion));
  }

  /** Sends each subscriber the update that it lacks. */
  void pushAll() {
    byConnection.forEach(this::push);
  }

  private void push(PeerConnection connection, Subscriber subscriber) {
    subscriber
        .feed
        .advance(stateFor(subscriber))
        .ifPresent(update -> connection.send(UpdateMessages.toMessage(update)));
  }

  private MeshState stateFor(Subscriber subscriber) {
    boolean sameDomain =
        subscriber.wantsFullConfig() && subscriber.request.domain().equals(ownDomain);
    return sameDomain && isPoller.getAsBoolean() ? store.stored() : store.active();
  }

  /** Records the version that a replica acknowledged. */
  void onVersionAck(PeerConnection connection, VersionAckMessage ack) {
    Subscriber subscriber = byConnection.get(connection);
    if (subscriber == null || !subscriber.wantsFullConfig()) {
      return;
    }
    subscriber.acknowledgedVersion = ack.version();
    subscriber.unacknowledgedChecks = 0;
    String domain = subscriber.request.domain();
    replicaVersions(domain).record(subscriber.request.hostId(), ack.version());
    sendReplicaCount(domain, ack.version());
  }

  /** Notifies the replicas of a domain that store a version once enough others store it. */
  private void sendReplicaCount(String domain, ConfigVersion version) {
    int otherReplicas = replicaCount.applyAsInt(domain) - 1;
    byConnection.forEach(
        (connection, subscriber) -> {
          if (!subscriber.awaitsReplicaCount(domain, version)) {
            return;
          }
          int others = replicaVersions(domain).countOthers(subscriber.request.hostId(), version);
          if (ReplicaVersions.mayActivate(others, otherReplicas)) {
            subscriber.notifiedVersion = version;
            connection.send(new ReplicaCountMessage(version, others));
          }
        });
  }

  /** Notifies the replicas of all domains, as the number of replicas may have become smaller. */
  void sendAllReplicaCounts() {
    for (String domain : List.copyOf(versionsByDomain.keySet())) {
      boolean useStored = domain.equals(ownDomain) && isPoller.getAsBoolean();
      sendReplicaCount(domain, (useStored ? store.stored() : store.active()).version());
    }
  }

  /** Records that this node, itself a replica, stores a version. */
  void recordLocalVersion(String hostId, ConfigVersion version) {
    replicaVersions(ownDomain).record(hostId, version);
    sendReplicaCount(ownDomain, version);
  }

  /** Returns how many other replicas of the failure domain of this node store a version. */
  int countOtherReplicas(String hostId, ConfigVersion version) {
    return replicaVersions(ownDomain).countOthers(hostId, version);
  }

  /** Sends full updates to replicas that do not acknowledge the updates sent to them. */
  void resendUnacknowledged() {
    byConnection.forEach(
        (connection, subscriber) -> {
          boolean behind = stateFor(subscriber).version().isAfter(subscriber.acknowledgedVersion);
          subscriber.unacknowledgedChecks =
              subscriber.wantsFullConfig() && behind ? subscriber.unacknowledgedChecks + 1 : 0;
          if (subscriber.unacknowledgedChecks >= MAX_UNACKNOWLEDGED_CHECKS) {
            subscriber.unacknowledgedChecks = 0;
            subscriber.feed = subscriber.newFeed(subscriber.acknowledgedVersion, "");
            push(connection, subscriber);
          }
        });
  }

  private ReplicaVersions replicaVersions(String domain) {
    return versionsByDomain.computeIfAbsent(domain, name -> new ReplicaVersions());
  }
}
