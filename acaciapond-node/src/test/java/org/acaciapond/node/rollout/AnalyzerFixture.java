package org.acaciapond.node.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.LatencySketch;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.routing.target.TargetEndpoint;
import org.jspecify.annotations.Nullable;

/** Analyzers of one service that share a table, with a manual clock and throwing invariants. */
final class AnalyzerFixture {

  static final String SERVICE = "pay-engine";
  static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  static final int BY_SECONDS = 60;
  static final Instant BY = START.plusSeconds(BY_SECONDS);

  final ManualTimeSource time = new ManualTimeSource(START);
  final FakePlatform.Table table = new FakePlatform.Table();
  final List<Node> nodes = new ArrayList<>();
  final RolloutInvariants invariants = new RolloutInvariants(true);
  private final Random random;

  /** Targets that every node sees. */
  List<Member> targets = targets(4, 4);

  AnalyzerFixture(int analyzers, Random random) {
    this.random = random;
    table.onWrite = (before, after) -> checkRow(before.map(AnalyzerFixture::row), after);
    for (int i = 0; i < analyzers; i++) {
      nodes.add(new Node(i));
    }
  }

  /** One analyzer with its own gossip store and its own access to the table. */
  final class Node implements MembershipView {

    final int index;
    FakePlatform platform = new FakePlatform(table);
    InMemoryGossipStore gossip;
    RolloutRegistry registry;
    LocalRollout localRollout;
    private final Queue<Runnable> loop = new ArrayDeque<>();

    Node(int index) {
      this.index = index;
      restart();
    }

    /** Restarts the node with an empty memory. */
    void restart() {
      loop.clear();
      platform = new FakePlatform(table);
      gossip = new InMemoryGossipStore();
      registry = new RolloutRegistry(gossip, service -> endpoints(targets), invariants);
      String holder = "analyzer-" + index + "/" + time.nanoTime();
      RolloutTable access =
          new RolloutTable(platform, time, new Random(index), loop::add, SERVICE, holder);
      localRollout = new LocalRollout(SERVICE, time, this, registry, gossip, invariants, access);
    }

    void tick(@Nullable ServiceConfig config) {
      localRollout.tick(config);
      runQueued();
    }

    /** Runs the tasks that responses of the table have queued. */
    void runQueued() {
      while (!loop.isEmpty()) {
        loop.remove().run();
      }
    }

    /** Returns the share of calls that this node routes to the new version. */
    double share(ServiceConfig config) {
      var split = registry.splitOf(config);
      return "v2".equals(split.newVersion()) ? split.newShare() : 0;
    }

    @Override
    public Member self() {
      return member("analyzer-" + index, "v1");
    }

    @Override
    public List<Member> domainMembers(String failureDomain) {
      return targets;
    }

    @Override
    public List<Member> members() {
      return targets;
    }
  }

  /** Advances the clock by a second, delivers evidence and gossip, and ticks all nodes. */
  void advanceSecond(ServiceConfig config, boolean newVersionFails) {
    time.advance(Duration.ofSeconds(1));
    for (Node node : nodes) {
      sendEvidence(node, newVersionFails);
      node.tick(config);
    }
    nodes.forEach(this::spreadGossipFrom);
  }

  void sendEvidence(Node node, boolean newVersionFails) {
    for (int reporter = 0; reporter < 6; reporter++) {
      node.localRollout.onEvidence(summary(reporter, node, newVersionFails));
    }
  }

  /** Copies all gossip entries of one node to all others, as complete anti-entropy does. */
  void spreadGossipFrom(Node from) {
    nodes.forEach(to -> exchangeGossip(from, to));
  }

  void exchangeGossip(Node from, Node to) {
    from.gossip.list("").forEach(to.gossip::publish);
  }

  private EvidenceSummary summary(int reporter, Node node, boolean newVersionFails) {
    double share = node.registry.row(SERVICE).map(r -> r.row().share()).orElse(0.0);
    int newCalls = (int) (400 * share);
    int newErrors = newVersionFails ? newCalls / 2 : 0;
    List<RouteCounts> routes =
        List.of(counts("v1", 400 - newCalls, 0), counts("v2", newCalls, newErrors));
    return new EvidenceSummary(
        "caller-" + reporter,
        "domain-" + reporter % 3,
        1,
        time.now().getEpochSecond(),
        node.registry.grantNumber(SERVICE),
        routes);
  }

  private static RouteCounts counts(String version, int calls, int errors) {
    LatencySketch latency = new LatencySketch();
    latency.add(20, calls);
    return new RouteCounts(SERVICE, version, "/release", calls, errors, latency);
  }

  private void checkRow(Optional<RolloutRow> before, org.acaciapond.platform.client.Row after) {
    if (after.key().equals(RolloutGossip.rowKey(SERVICE))) {
      RolloutRow written = row(after);
      before.ifPresent(known -> invariants.checkTransition(known, written));
    }
  }

  static RolloutRow row(org.acaciapond.platform.client.Row row) {
    return RolloutGossip.decodeRow(row).map(RecordedRow::row).orElse(null);
  }

  RolloutRow row() {
    return row(table.rows.get(RolloutGossip.rowKey(SERVICE)));
  }

  Random random() {
    return random;
  }

  static ServiceConfig config(String current, @Nullable RolloutConfig rollout) {
    return new ServiceConfig(
        SERVICE, List.of(), false, List.of(), LimitsConfig.DEFAULT, List.of(), current, rollout);
  }

  static ServiceConfig configWithRollout() {
    return config("v1", new RolloutConfig("v2", BY));
  }

  static List<Member> targets(int oldCount, int newCount) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < oldCount + newCount; i++) {
      members.add(member("host-" + i, i < oldCount ? "v1" : "v2"));
    }
    return members;
  }

  static Member member(String host, String version) {
    return new Member(
        host, 1, "127.0.0.1", 1, 2, "brum-a", "midlands", SERVICE, version, 1, MemberState.ALIVE);
  }

  static List<TargetEndpoint> endpoints(List<Member> members) {
    return members.stream()
        .map(
            m ->
                new TargetEndpoint(
                    m.hostId(),
                    m.ip(),
                    m.inboundPort(),
                    m.failureDomain(),
                    SERVICE,
                    m.targetVersion(),
                    1,
                    false))
        .toList();
  }
}
