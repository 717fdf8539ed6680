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

/** Search of a starting node for the version that it must reach. */
final class MinimumVersionRole {

  /**
   * Leaves give the replicas time before they read the platform, so that a domain that restarts as
   * a whole does not exceed the platform's read limit.
   */
  private static final long LEAF_PLATFORM_DELAY_MS = 3_000;

  private static final long LEAF_PLATFORM_JITTER_MS = 5_000;
  private static final long REPLICA_PLATFORM_DELAY_MS = 300;
  private static final long REPLICA_PLATFORM_JITTER_MS = 700;

  private final DistributionContext context;
  private final PlatformClient platform;
  private final MinimumVersion floor = new MinimumVersion();
  private final Set<String> asking = new HashSet<>();
  private final long startedAtNanos;
  private final double jitter;
  private long nextReadNanos;
  private boolean reading;

  MinimumVersionRole(DistributionContext context, PlatformClient platform) {
    this.context = context;
    this.platform = platform;
    this.startedAtNanos = context.time().nanoTime();
    this.jitter = context.random().nextDouble();
    this.nextReadNanos = startedAtNanos;
  }

  Optional<ConfigVersion> floor() {
    return floor.version();
  }

  String waitingFor() {
    return floor.waitingFor();
  }

  void tick(DomainRoles roles) {
    Member self = context.self();
    Set<String> others = new HashSet<>(roles.replicas());
    others.remove(self.hostId());
    floor.setReplicas(others);
    for (Member member : context.membership().domainMembers(self.failureDomain())) {
      if (others.contains(member.hostId()) && asking.add(member.hostId())) {
        ask(member);
      }
    }
    boolean central =
        roles.replicas().contains(self.hostId())
            || roles.pollerCandidates().contains(self.hostId());
    readPlatform(
        central ? REPLICA_PLATFORM_DELAY_MS : LEAF_PLATFORM_DELAY_MS,
        central ? REPLICA_PLATFORM_JITTER_MS : LEAF_PLATFORM_JITTER_MS);
  }

  private void ask(Member member) {
    String id = member.hostId();
    context.connect(
        member,
        opened -> opened.send(new MinimumVersionRequestMessage(context.self().hostId())),
        this::onMessage,
        () -> asking.remove(id));
  }

  private void onMessage(PeerConnection connection, Message message) {
    if (message instanceof MinimumVersionResponseMessage answer) {
      floor.onResponse(answer.hostId(), answer.held());
    }
    connection.close();
  }

  private void readPlatform(long delayMs, long jitterMs) {
    long nowNanos = context.time().nanoTime();
    long pauseNanos = Duration.ofMillis(delayMs + (long) (jitter * jitterMs)).toNanos();
    if (reading || nowNanos - startedAtNanos < pauseNanos || nowNanos - nextReadNanos < 0) {
      return;
    }
    reading = true;
    nextReadNanos = nowNanos + pauseNanos;
    platform
        .readRow(ConfigHead.KEY)
        .map(row -> row.map(r -> ConfigHead.decode(r.value()).version()))
        .subscribe()
        .with(
            head -> context.run(() -> onHead(head.orElse(ConfigVersion.NONE))),
            error -> context.run(() -> reading = false));
  }

  private void onHead(ConfigVersion head) {
    reading = false;
    floor.onPlatformHead(head);
  }
}
