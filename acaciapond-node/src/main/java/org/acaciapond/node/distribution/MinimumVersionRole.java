package org.acaciapond.node.distribution;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.distribution.readiness.MinimumVersion;
import org.acaciapond.membership.Member;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.message.MinimumVersionRequestMessage;
import org.acaciapond.protocol.message.MinimumVersionResponseMessage;
import org.acaciapond.protocol.transport.PeerConnection;

/** Role of a starting node: determines the minimum version that the node must reach. */
final class MinimumVersionRole {

  /**
   * Delay until a leaf reads the platform if the replicas have not responded. It keeps a failure
   * domain that restarts as a whole within the read limit of the platform.
   */
  private static final long LEAF_PLATFORM_DELAY_MS = 3_000;

  private static final long LEAF_PLATFORM_JITTER_MS = 5_000;
  private static final long REPLICA_PLATFORM_DELAY_MS = 300;
  private static final long REPLICA_PLATFORM_JITTER_MS = 700;

  private final DistributionContext context;
  private final PlatformClient platform;
  private final MinimumVersion minimumVersion = new MinimumVersion();
  private final Set<String> pendingRequests = new HashSet<>();
  private final long startNanos;
  private final double jitter;
  private long nextReadNanos;
  private boolean readPending;

  MinimumVersionRole(DistributionContext context, PlatformClient platform) {
    this.context = context;
    this.platform = platform;
    this.startNanos = context.time().nanoTime();
    this.jitter = context.random().nextDouble();
    this.nextReadNanos = startNanos;
  }

  Optional<ConfigVersion> version() {
    return minimumVersion.version();
  }

  String waitingFor() {
    return minimumVersion.waitingFor();
  }

  void tick(DomainRoles roles) {
    Member self = context.self();
    Set<String> otherReplicas = new HashSet<>(roles.replicas());
    otherReplicas.remove(self.hostId());
    minimumVersion.setReplicas(otherReplicas);
    for (Member member : context.membership().domainMembers(self.failureDomain())) {
      if (otherReplicas.contains(member.hostId()) && pendingRequests.add(member.hostId())) {
        requestVersion(member);
      }
    }
    boolean isReplicaOrCandidate =
        roles.replicas().contains(self.hostId())
            || roles.pollerCandidates().contains(self.hostId());
    readPlatform(
        isReplicaOrCandidate ? REPLICA_PLATFORM_DELAY_MS : LEAF_PLATFORM_DELAY_MS,
        isReplicaOrCandidate ? REPLICA_PLATFORM_JITTER_MS : LEAF_PLATFORM_JITTER_MS);
  }

  private void requestVersion(Member member) {
    String id = member.hostId();
    context.connect(
        member,
        opened -> opened.send(new MinimumVersionRequestMessage(context.self().hostId())),
        this::onMessage,
        () -> pendingRequests.remove(id));
  }

  private void onMessage(PeerConnection connection, Message message) {
    if (message instanceof MinimumVersionResponseMessage response) {
      minimumVersion.onResponse(response.hostId(), response.highestVersion());
    }
    connection.close();
  }

  private void readPlatform(long delayMs, long jitterMs) {
    long nowNanos = context.time().nanoTime();
    long delayNanos = Duration.ofMillis(delayMs + (long) (jitter * jitterMs)).toNanos();
    if (readPending || nowNanos - startNanos < delayNanos || nowNanos - nextReadNanos < 0) {
      return;
    }
    readPending = true;
    nextReadNanos = nowNanos + delayNanos;
    platform
        .readRow(ConfigHead.KEY)
        .map(row -> row.map(r -> ConfigHead.decode(r.value()).version()))
        .subscribe()
        .with(
            head -> context.run(() -> onHead(head.orElse(ConfigVersion.NONE))),
            error -> context.run(() -> readPending = false));
  }

  private void onHead(ConfigVersion head) {
    readPending = false;
    minimumVersion.onPlatformHead(head);
  }
}
