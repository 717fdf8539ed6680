package org.acaciapond.node.rollout;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.protocol.message.EvidenceMessage;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.routing.call.CallListener;
import org.acaciapond.routing.call.CallRecord;
import org.acaciapond.routing.target.TargetDirectory;
import org.jspecify.annotations.Nullable;

/** Service that reports evidence about rollouts and takes part in those of its own service. */
public final class RolloutService implements ManagedService, CallListener {

  /** Length of an evidence interval. */
  private static final long INTERVAL_MS = 1_000;

  private final Vertx vertx;
  private final TimeSource time;
  private final RandomGenerator random;
  private final MembershipView members;
  private final GossipStore gossip;
  private final PeerTransport transport;
  private final PlatformClient platform;
  private final SnapshotHolder holder;
  private final RolloutInvariants invariants = new RolloutInvariants(false);
  private final RolloutRegistry registry;
  private final EvidenceRecorder recorder;
  private final BooleanSupplier poller;
  private final String hostId;
  private final long incarnation;
  private volatile @Nullable Running running;
  private long timerId = -1;

  private record Running(
      Context context, EvidenceSender sender, LocalRollout localRollout, TableSync sync) {}

  /**
   * Creates a service.
   *
   * @param vertx event loops and timers
   * @param time clock
   * @param random source of jitter
   * @param members members of all failure domains
   * @param gossip distributes grants and taken-back versions
   * @param directory announced targets
   * @param transport connections to other nodes
   * @param platform table service
   * @param holder holder of the current configuration snapshot
   * @param poller returns whether this node is the poller of its failure domain
   */
  public RolloutService(
      Vertx vertx,
      TimeSource time,
      RandomGenerator random,
      MembershipView members,
      GossipStore gossip,
      TargetDirectory directory,
      PeerTransport transport,
      PlatformClient platform,
      SnapshotHolder holder,
      BooleanSupplier poller) {
    this.vertx = vertx;
    this.time = time;
    this.random = random;
    this.members = members;
    this.gossip = gossip;
    this.transport = transport;
    this.platform = platform;
    this.holder = holder;
    this.registry = new RolloutRegistry(gossip, directory, invariants);
    this.incarnation = time.now().toEpochMilli();
    Member self = members.self();
    this.hostId = self.hostId();
    this.recorder = new EvidenceRecorder(registry, hostId, self.failureDomain(), incarnation);
    this.poller = poller;
  }

  @Override
  public Uni<Void> start() {
    Context context = vertx.getOrCreateContext();
    Consumer<Runnable> loop = work -> context.runOnContext(ignored -> work.run());
    String service = ownService();
    RolloutTable table =
        new RolloutTable(platform, time, random, loop, service, hostId + "/" + incarnation);
    LocalRollout localRollout =
        new LocalRollout(service, time, members, registry, gossip, invariants, table);
    EvidenceSender sender = new EvidenceSender(transport, loop);
    TableSync sync = new TableSync(platform, gossip, time, poller, loop);
    Running started = new Running(context, sender, localRollout, sync);
    running = started;
    timerId =
        vertx.setPeriodic(
            1 + random.nextLong(INTERVAL_MS),
            INTERVAL_MS,
            id -> context.runOnContext(ignored -> tick(started)));
    return Uni.createFrom().voidItem();
  }

  @Override
  public Uni<Void> stop() {
    Running current = running;
    vertx.cancelTimer(timerId);
    if (current != null) {
      current
          .context()
          .runOnContext(
              ignored -> {
                current.localRollout().resign();
                current.sender().close();
              });
    }
    return Uni.createFrom().voidItem();
  }

  private String ownService() {
    return holder.current().scope().ownService();
  }

  private void tick(Running current) {
    current.sync().tick();
    report(current);
    if (isAnalyzer()) {
      current.localRollout().tick(holder.current().service(ownService()));
    } else {
      current.localRollout().resign();
    }
  }

  /** Returns whether this node is an analyzer of its own service. */
  public boolean isAnalyzer() {
    return AnalyzerElection.electAnalyzers(members, ownService()).stream()
        .anyMatch(member -> member.hostId().equals(hostId));
  }

  /** Returns why the configured rollout has not started, empty if no reason is known. */
  public String waitReason() {
    Running current = running;
    return current == null ? "" : current.localRollout().waitReason();
  }

  private void report(Running current) {
    long interval = time.now().getEpochSecond();
    Map<String, EvidenceSummary> summaries = recorder.drain(interval);
    if (summaries.isEmpty() || !AnalyzerElection.isReporter(members)) {
      return;
    }
    summaries.forEach((service, summary) -> send(current, service, summary));
  }

  private void send(Running current, String service, EvidenceSummary summary) {
    List<Member> analyzers = AnalyzerElection.electAnalyzers(members, service);
    for (Member analyzer : analyzers) {
      if (analyzer.hostId().equals(hostId)) {
        current.localRollout().onEvidence(summary);
      } else {
        current.sender().send(analyzer, new EvidenceMessage(summary));
      }
    }
  }

  /** Handles a summary from another node; may be called on any thread. */
  public void onMessage(EvidenceMessage message) {
    Running current = running;
    if (current != null) {
      current
          .context()
          .runOnContext(ignored -> current.localRollout().onEvidence(message.summary()));
    }
  }

  @Override
  public void onCall(CallRecord call) {
    recorder.onCall(call);
  }

  /** Returns the registry of grants and taken-back versions. */
  public RolloutRegistry registry() {
    return registry;
  }

  /** Returns the checker of rollout invariants. */
  public RolloutInvariants invariants() {
    return invariants;
  }
}
