package org.acaciapond.node.membership;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.protocol.message.AnnounceMessage;
import org.acaciapond.protocol.message.MemberRecord;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetEndpoint;

/** Service that sends the known members to all of them and drops those not heard of. */
public final class AnnounceService implements ManagedService, TargetDirectory {

  private static final Duration EXPIRY = Duration.ofSeconds(5);

  private final Vertx vertx;
  private final TimeSource time;
  private final PeerTransport transport;
  private final List<PeerAddress> seeds;
  private final Supplier<MemberRecord> self;
  private final long intervalMs;
  private final Map<String, MemberRecord> members = new ConcurrentHashMap<>();
  private final Map<String, Long> heardAtNanos = new ConcurrentHashMap<>();
  private final Map<PeerAddress, PeerConnection> connections = new ConcurrentHashMap<>();
  private final Set<PeerAddress> connecting = ConcurrentHashMap.newKeySet();
  private volatile Map<String, List<TargetEndpoint>> targets = Map.of();
  private long timerId;

  /**
   * Creates a service.
   *
   * @param vertx timers to use
   * @param time clock
   * @param transport connections to other nodes
   * @param seeds nodes to contact first
   * @param self returns the record of this node
   * @param intervalMs interval between announcements
   */
  public AnnounceService(
      Vertx vertx,
      TimeSource time,
      PeerTransport transport,
      List<PeerAddress> seeds,
      Supplier<MemberRecord> self,
      long intervalMs) {
    this.vertx = vertx;
    this.time = time;
    this.transport = transport;
    this.seeds = List.copyOf(seeds);
    this.self = self;
    this.intervalMs = intervalMs;
  }

  @Override
  public Uni<Void> start() {
    timerId = vertx.setPeriodic(0, intervalMs, id -> announce());
    return Uni.createFrom().voidItem();
  }

  @Override
  public Uni<Void> stop() {
    vertx.cancelTimer(timerId);
    connections.values().forEach(PeerConnection::close);
    return Uni.createFrom().voidItem();
  }

  @Override
  public List<TargetEndpoint> targets(String service) {
    return targets.getOrDefault(service, List.of());
  }

  /** Returns the record of this node. */
  public MemberRecord selfRecord() {
    return self.get();
  }

  /** Returns the records of all known nodes, this one among them. */
  public List<MemberRecord> knownRecords() {
    return List.copyOf(members.values());
  }

  /** Receives a message of another node. */
  public void onMessage(Message message) {
    if (message instanceof AnnounceMessage announce) {
      announce.members().forEach(this::merge);
      rebuildTargets();
    }
  }

  private void merge(MemberRecord record) {
    members.compute(
        record.hostId(),
        (id, known) -> {
          if (known != null && known.incarnation() >= record.incarnation()) {
            return known;
          }
          heardAtNanos.put(id, time.nanoTime());
          return record;
        });
  }

  private void announce() {
    merge(self.get());
    dropExpired();
    rebuildTargets();
    AnnounceMessage message = new AnnounceMessage(new ArrayList<>(members.values()));
    for (PeerAddress address : peerAddresses()) {
      PeerConnection connection = connections.get(address);
      if (connection != null) {
        connection.send(message);
      } else if (connecting.add(address)) {
        connect(address);
      }
    }
  }

  private void dropExpired() {
    long oldestNanos = time.nanoTime() - EXPIRY.toNanos();
    heardAtNanos.entrySet().removeIf(entry -> entry.getValue() < oldestNanos);
    members.keySet().retainAll(heardAtNanos.keySet());
  }

  private Set<PeerAddress> peerAddresses() {
    Set<PeerAddress> addresses = new java.util.HashSet<>(seeds);
    members.values().forEach(m -> addresses.add(new PeerAddress(m.ip(), m.peerPort())));
    addresses.remove(transport.address());
    return addresses;
  }

  private void connect(PeerAddress address) {
    transport
        .connect(address)
        .subscribe()
        .with(
            connection -> {
              connection.onMessage(this::onMessage);
              connection.onClose(() -> connections.remove(address, connection));
              connections.put(address, connection);
              connecting.remove(address);
            },
            error -> connecting.remove(address));
  }

  private void rebuildTargets() {
    Map<String, List<TargetEndpoint>> next = new HashMap<>();
    for (MemberRecord member : members.values()) {
      if (!member.service().isEmpty()) {
        next.computeIfAbsent(member.service(), s -> new ArrayList<>()).add(toEndpoint(member));
      }
    }
    targets = next;
  }

  private static TargetEndpoint toEndpoint(MemberRecord member) {
    return new TargetEndpoint(
        member.hostId(),
        member.ip(),
        member.inboundPort(),
        member.failureDomain(),
        member.service(),
        member.targetVersion(),
        member.weight(),
        member.leaving());
  }
}
