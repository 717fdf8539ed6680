package org.acaciapond.sidecar.rollout;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.rollout.DecisionPermit;
import org.acaciapond.mesh.rollout.RolloutController;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.rollout.RolloutProgress;
import org.acaciapond.mesh.rollout.RolloutRegistry;
import org.acaciapond.mesh.rollout.RolloutState;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.rollout.evidence.CallResult;
import org.acaciapond.rollout.evidence.Evidence;
import org.acaciapond.rollout.evidence.EvidenceTotals;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.acaciapond.rollout.exposure.ExposureSchedule;
import org.acaciapond.sidecar.call.CallObserver;
import org.acaciapond.sidecar.call.VersionFilter;
import org.acaciapond.sidecar.peer.PeerNetwork;
import org.acaciapond.sidecar.peer.RolloutExchange;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Rollouts at one node. Every node reports the results of its requests to the analyzer, which is
 * the connected node with the lowest key. The analyzer grants shares; its grants expire unless it
 * renews them. Whatever is granted, each node keeps to its own part of the exposure budget. A
 * version can be taken back while the store is unavailable.
 */
public final class RolloutService implements RolloutExchange, CallObserver, VersionFilter {

  private static final int MAX_EVIDENCE_CELLS = 4_096;
  private static final int GRANT_RENEWAL_INTERVAL_MS = 500;
  private static final int READ_RETRY_DELAY_MS = 500;
  private static final int INTERVALS_BETWEEN_TOTALS = 10;

  private final Vertx vertx;
  private final MeshStore store;
  private final PlatformCodec codec;
  private final String nodeKey;
  private final String domain;
  private final ExposureSchedule schedule;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final RolloutRegistry registry;
  private final DecisionPermit permit = new DecisionPermit();
  private final Evidence intervalEvidence = new Evidence(MAX_EVIDENCE_CELLS);
  private final Map<String, RunningRollout> rollouts = new HashMap<>();
  private @Nullable PeerNetwork network;
  private long timer = -1;

  /** Running rollout of one service at this node. */
  private final class RunningRollout {
    RolloutOrder order;
    // Calls of this node, and those that other nodes reported to it.
    final EvidenceTotals localTotals = new EvidenceTotals();
    final Map<String, EvidenceTotals> reportedTotals = new HashMap<>();
    long startNanos;
    String lastAnalyzer = "";
    int intervalsSinceTotals;
    boolean deciding;
    @Nullable RolloutController controller;
    @Nullable RolloutProgressWriter progressWriter;
    long grantNumber;
    long grantRenewedNanos = Long.MIN_VALUE;

    RunningRollout(RolloutOrder order, long startNanos) {
      this.order = order;
      this.startNanos = startNanos;
    }

    int elapsedMs() {
      return (int) ((time.nanoTime() - startNanos) / 1_000_000);
    }

    // A node that started after the order, or whose host was suspended, learns the time from
    // others.
    void adoptElapsedTime(int elapsedMs) {
      startNanos = Math.min(startNanos, time.nanoTime() - elapsedMs * 1_000_000L);
    }
  }

  /** Creates a service without orders. */
  public RolloutService(
      Vertx vertx,
      MeshStore store,
      PlatformCodec codec,
      String nodeKey,
      String domain,
      ExposureSchedule schedule,
      EventLog log,
      NodeMetrics metrics,
      TimeSource time) {
    this.vertx = vertx;
    this.store = store;
    this.codec = codec;
    this.nodeKey = nodeKey;
    this.domain = domain;
    this.schedule = schedule;
    this.registry = new RolloutRegistry(schedule);
    this.log = log;
    this.metrics = metrics;
    this.time = time;
  }

  /**
   * Starts to read the stored progress, which a node that starts during a rollout does not know.
   *
   * @param peers connections to the other nodes
   */
  public void start(PeerNetwork peers) {
    network = peers;
    store
        .read(StoreArea.ROLLOUTS)
        .subscribe()
        .with(
            this::onRows,
            error -> {
              log.event("move_rows_unread", "error", error.getMessage());
              vertx.setTimer(READ_RETRY_DELAY_MS, id -> start(peers));
            });
  }

  private void onRows(StoreRows rows) {
    for (StoreRow row : rows.rows()) {
      RolloutProgress progress = codec.decodeProgress(row);
      if (progress != null) {
        registry.applyProgress(progress, row.version().toNumber());
      }
    }
  }

  /** Applies an operator's rollout order. */
  public void applyOrder(RolloutOrder order) {
    if (registry.renumber(order)) {
      onRenumbered(order);
      return;
    }
    if (!registry.applyOrder(order)) {
      return;
    }
    log.event(
        "move_ordered",
        "service",
        order.service(),
        "to",
        order.toVersion(),
        "duration_ms",
        order.durationMs(),
        "number",
        order.number());
    rollouts.put(order.service(), new RunningRollout(order, time.nanoTime()));
    if (timer < 0) {
      permit.restart();
      timer = vertx.setPeriodic(RolloutController.INTERVAL_MS, id -> processInterval());
    }
  }

  // The store has come back from an older copy, which may lack the progress of the rollout.
  private void onRenumbered(RolloutOrder order) {
    RolloutState state = registry.stateOf(order);
    log.event(
        "move_renumbered",
        "service",
        order.service(),
        "to",
        order.toVersion(),
        "number",
        order.number(),
        "state",
        state);
    RunningRollout rollout = rollouts.get(order.service());
    if (rollout != null) {
      rollout.order = order;
      rollout.progressWriter = null;
    }
    if (state != RolloutState.RUNNING) {
      publish(registry.endedRollouts());
      if (rollout == null) {
        storeEnd(new RunningRollout(order, time.nanoTime()), state);
      }
    }
  }

  @Override
  public Predicate<Candidate> forRequest(String service, List<Candidate> candidates, double draw) {
    return registry.versionFilter(service, candidates, draw, time.nanoTime());
  }

  @Override
  public int unprovenSharePermille(String service) {
    return registry.unprovenSharePermille(service, time.nanoTime());
  }

  @Override
  public void onCallSent(TargetStatus target) {
    if (registry.recordCallSent(target)) {
      metrics.countUnprovenVersionCall();
    }
  }

  @Override
  public void onCallRefused(TargetStatus target) {
    registry.recordCallRefused(target);
  }

  @Override
  public void onCallResult(
      TargetStatus target, String route, CallResult result, double serviceUs, boolean cold) {
    String service = target.service();
    RunningRollout rollout = rollouts.get(service);
    if (rollout == null) {
      return;
    }
    if (result.isInformative()) {
      registry.recordCallAnswered(service);
    }
    String version = target.version();
    double analyzedLatencyUs =
        version.equals(rollout.order.toVersion())
            ? RolloutController.toleratedLatencyUs(serviceUs)
            : serviceUs;
    intervalEvidence.record(service, version, route, result, cold ? Double.NaN : analyzedLatencyUs);
  }

  @Override
  public List<ShareGrant> grants() {
    List<ShareGrant> grants = new ArrayList<>(registry.endedRollouts());
    for (RunningRollout rollout : rollouts.values()) {
      RolloutController controller = rollout.controller;
      if (controller != null && rollout.deciding && controller.state() == RolloutState.RUNNING) {
        grants.add(createGrant(rollout, controller));
      }
    }
    return grants;
  }

  @Override
  public void accept(List<ShareGrant> grants) {
    for (ShareGrant grant : grants) {
      boolean changed = registry.applyGrant(grant, time.nanoTime());
      RunningRollout rollout = rollouts.get(grant.service());
      if (rollout != null && rollout.order.number() == grant.orderNumber()) {
        rollout.adoptElapsedTime(grant.elapsedMs());
      }
      if (changed) {
        log.event(
            "move_grant",
            "service",
            grant.service(),
            "to",
            grant.toVersion(),
            "order",
            grant.orderNumber(),
            "share_permille",
            grant.sharePermille(),
            "state",
            grant.state());
      }
      if (changed && grant.state() != RolloutState.RUNNING) {
        publish(List.of(grant));
      }
    }
  }

  @Override
  public void accept(PeerMessage.Evidence reported) {
    for (RunningRollout rollout : rollouts.values()) {
      if (rollout.order.number() == reported.orderNumber()) {
        List<RouteCounts> counts = newCounts(rollout, reported);
        controllerOf(rollout).addEvidence(reported.domain(), rollout.elapsedMs(), counts);
      }
    }
  }

  private static List<RouteCounts> newCounts(
      RunningRollout rollout, PeerMessage.Evidence reported) {
    EvidenceTotals totals =
        rollout.reportedTotals.computeIfAbsent(reported.node(), key -> new EvidenceTotals());
    if (reported.total()) {
      return totals.replaceBy(reported.counts());
    }
    totals.add(reported.counts());
    return reported.counts();
  }

  private RolloutController controllerOf(RunningRollout rollout) {
    RolloutController existing = rollout.controller;
    if (existing != null) {
      return existing;
    }
    PeerNetwork peers = network;
    String oldVersion =
        peers == null
            ? ""
            : registry.currentVersion(
                rollout.order.service(), peers.candidates(rollout.order.service()));
    RolloutController created = new RolloutController(rollout.order, oldVersion, schedule);
    rollout.controller = created;
    log.event("move_judged_here", "service", rollout.order.service(), "old", oldVersion);
    return created;
  }

  private void processInterval() {
    PeerNetwork peers = network;
    if (peers == null) {
      return;
    }
    List<RouteCounts> counts = intervalEvidence.drain();
    String analyzerKey = peers.lowestKey();
    int connectedNodes = peers.connectedPeerCount() + 1;
    int knownNodes = peers.knownNodeCount();
    boolean analyzer = analyzerKey.equals(nodeKey);
    boolean mayDecide =
        permit.check(
            analyzer, time.nanoTime(), time.now().toEpochMilli(), connectedNodes, knownNodes);
    registry.setKnownNodes(knownNodes);
    metrics.setExposureViolations(registry.budgetViolations());
    for (RunningRollout rollout : new ArrayList<>(rollouts.values())) {
      if (registry.stateOf(rollout.order) != RolloutState.RUNNING) {
        finish(rollout);
        continue;
      }
      List<RouteCounts> localCounts =
          counts.stream().filter(each -> each.service().equals(rollout.order.service())).toList();
      rollout.localTotals.add(localCounts);
      rollout.deciding = mayDecide;
      if (analyzer) {
        accept(evidence(rollout, rollout.localTotals.counts(), true));
        resumeAfterTakeover(rollout);
        if (mayDecide) {
          advance(rollout, controllerOf(rollout));
        }
      } else {
        report(rollout, analyzerKey, localCounts, peers);
      }
      rollout.lastAnalyzer = analyzerKey;
    }
    if (rollouts.isEmpty()) {
      vertx.cancelTimer(timer);
      timer = -1;
    }
  }

  // Another node may have raised the share since this one was the analyzer.
  private void resumeAfterTakeover(RunningRollout rollout) {
    ShareGrant latest = registry.latestGrant(rollout.order.service());
    boolean takenOver = !rollout.lastAnalyzer.equals(nodeKey);
    if (takenOver && latest != null && latest.orderNumber() == rollout.order.number()) {
      controllerOf(rollout).resume(latest.sharePermille());
    }
  }

  private void report(
      RunningRollout rollout, String analyzerKey, List<RouteCounts> latest, PeerNetwork peers) {
    rollout.intervalsSinceTotals++;
    boolean total =
        !analyzerKey.equals(rollout.lastAnalyzer)
            || rollout.intervalsSinceTotals >= INTERVALS_BETWEEN_TOTALS;
    if (total) {
      rollout.intervalsSinceTotals = 0;
    }
    List<RouteCounts> reported = total ? rollout.localTotals.counts() : latest;
    if (!reported.isEmpty()) {
      peers.send(analyzerKey, evidence(rollout, reported, total));
    }
  }

  private PeerMessage.Evidence evidence(
      RunningRollout rollout, List<RouteCounts> counts, boolean total) {
    return new PeerMessage.Evidence(domain, rollout.order.number(), counts, nodeKey, total);
  }

  private void advance(RunningRollout rollout, RolloutController controller) {
    if (rollout.progressWriter == null) {
      rollout.progressWriter = createProgressWriter(rollout);
      rollout.progressWriter.setDesiredState(RolloutState.RUNNING);
    }
    boolean changed = controller.decide(rollout.elapsedMs(), acceptingTargets(rollout.order));
    long nowNanos = time.nanoTime();
    boolean renewalDue =
        rollout.grantRenewedNanos == Long.MIN_VALUE
            || nowNanos - rollout.grantRenewedNanos >= GRANT_RENEWAL_INTERVAL_MS * 1_000_000L;
    if (changed) {
      rollout.grantNumber++;
      log.event(
          "move_step",
          "service",
          rollout.order.service(),
          "to",
          rollout.order.toVersion(),
          "elapsed_ms",
          rollout.elapsedMs(),
          "share_permille",
          controller.sharePermille(),
          "state",
          controller.state(),
          "new_calls",
          controller.newCalls(),
          "reason",
          controller.reason());
    }
    if (changed || renewalDue) {
      rollout.grantRenewedNanos = nowNanos;
      ShareGrant grant = createGrant(rollout, controller);
      registry.applyGrant(grant, nowNanos);
      publish(List.of(grant));
    }
    if (controller.state() != RolloutState.RUNNING) {
      rollout.progressWriter.setDesiredState(controller.state());
    }
  }

  private RolloutProgressWriter createProgressWriter(RunningRollout rollout) {
    return new RolloutProgressWriter(
        vertx,
        store,
        codec,
        rollout.order,
        (progress, rowNumber) -> onEnded(rollout, progress, rowNumber),
        log);
  }

  private int acceptingTargets(RolloutOrder order) {
    PeerNetwork peers = network;
    return peers == null
        ? 0
        : RolloutRegistry.acceptingTargets(order.toVersion(), peers.candidates(order.service()));
  }

  private static ShareGrant createGrant(RunningRollout rollout, RolloutController controller) {
    return new ShareGrant(
        rollout.order.service(),
        rollout.order.toVersion(),
        rollout.order.number(),
        rollout.grantNumber,
        controller.sharePermille(),
        controller.state(),
        rollout.elapsedMs());
  }

  private void onEnded(RunningRollout rollout, RolloutProgress progress, long rowNumber) {
    registry.applyProgress(progress, rowNumber);
    publish(registry.endedRollouts());
    log.event(
        "move_ended",
        "service",
        rollout.order.service(),
        "to",
        progress.toVersion(),
        "state",
        progress.state());
  }

  // The analyzer's progress writer keeps running until the row is written. Other nodes need nothing
  // more of the rollout.
  private void finish(RunningRollout rollout) {
    storeEnd(rollout, registry.stateOf(rollout.order));
    rollouts.remove(rollout.order.service(), rollout);
  }

  private void storeEnd(RunningRollout rollout, RolloutState state) {
    RolloutProgressWriter progressWriter = rollout.progressWriter;
    PeerNetwork peers = network;
    if (progressWriter == null && peers != null && peers.lowestKey().equals(nodeKey)) {
      progressWriter = createProgressWriter(rollout);
    }
    if (progressWriter != null) {
      progressWriter.setDesiredState(state);
    }
  }

  private void publish(List<ShareGrant> grants) {
    PeerNetwork peers = network;
    if (peers != null) {
      peers.publish(new PeerMessage.Grants(grants));
    }
  }
}
