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
import org.acaciapond.mesh.rollout.RolloutController;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.rollout.RolloutProgress;
import org.acaciapond.mesh.rollout.RolloutRegistry;
import org.acaciapond.mesh.rollout.RolloutState;
import org.acaciapond.mesh.rollout.RolloutSteps;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.rollout.evidence.CallResult;
import org.acaciapond.rollout.evidence.Evidence;
import org.acaciapond.rollout.evidence.RouteCounts;
import org.acaciapond.sidecar.call.CallObserver;
import org.acaciapond.sidecar.call.VersionFilter;
import org.acaciapond.sidecar.peer.PeerNetwork;
import org.acaciapond.sidecar.peer.RolloutExchange;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Moves at one node. Every node reports what its requests saw to the judge, which is the connected
 * node with the lowest key; the judge grants shares, and its grants lapse when it falls silent. To
 * take a version back needs no store.
 */
public final class RolloutService implements RolloutExchange, CallObserver, VersionFilter {

  private static final int MAX_EVIDENCE_CELLS = 4_096;
  private static final int RENEW_MS = 500;
  private static final int READ_RETRY_MS = 500;

  private final Vertx vertx;
  private final MeshStore store;
  private final PlatformCodec codec;
  private final String nodeKey;
  private final String domain;
  private final RolloutSteps steps;
  private final EventLog log;
  private final TimeSource time;
  private final RolloutRegistry book = new RolloutRegistry();
  private final Evidence evidence = new Evidence(MAX_EVIDENCE_CELLS);
  private final Map<String, Running> moves = new HashMap<>();
  private @Nullable PeerNetwork network;
  private long timer = -1;

  /** Move of one service at this node. */
  private final class Running {
    final RolloutOrder order;
    final long startNanos;
    @Nullable RolloutController judge;
    @Nullable RolloutProgressWriter row;
    long grantNumber;
    long renewedNanos = Long.MIN_VALUE;

    Running(RolloutOrder order, long startNanos) {
      this.order = order;
      this.startNanos = startNanos;
    }

    int elapsedMs() {
      return (int) ((time.nanoTime() - startNanos) / 1_000_000);
    }
  }

  /** Creates the service. */
  public RolloutService(
      Vertx vertx,
      MeshStore store,
      PlatformCodec codec,
      String nodeKey,
      String domain,
      RolloutSteps steps,
      EventLog log,
      TimeSource time) {
    this.vertx = vertx;
    this.store = store;
    this.codec = codec;
    this.nodeKey = nodeKey;
    this.domain = domain;
    this.steps = steps;
    this.log = log;
    this.time = time;
  }

  /** Starts to read how far moves are, which a node that starts amid one does not know. */
  public void start(PeerNetwork peers) {
    network = peers;
    store
        .read(StoreArea.ROLLOUTS)
        .subscribe()
        .with(
            this::onRows,
            error -> {
              log.event("move_rows_unread", "error", error.getMessage());
              vertx.setTimer(READ_RETRY_MS, id -> start(peers));
            });
  }

  private void onRows(StoreRows rows) {
    for (StoreRow row : rows.rows()) {
      RolloutProgress progress = codec.decodeProgress(row);
      if (progress != null) {
        book.progress(progress, row.version());
      }
    }
  }

  /** Takes an order of the operator. */
  public void order(RolloutOrder order) {
    if (!book.takeOrder(order)) {
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
    moves.put(order.service(), new Running(order, time.nanoTime()));
    if (timer < 0) {
      timer = vertx.setPeriodic(RolloutController.INTERVAL_MS, id -> tick());
    }
  }

  @Override
  public Predicate<Candidate> forRequest(String service, List<Candidate> candidates, double draw) {
    return book.filter(service, candidates, draw, time.nanoTime());
  }

  @Override
  public void onCallResult(Candidate target, String route, CallResult result, double latencyUs) {
    String service = target.status().service();
    Running move = moves.get(service);
    if (move == null) {
      return;
    }
    String version = target.status().version();
    double comparedUs =
        version.equals(move.order.toVersion())
            ? RolloutController.comparedUs(latencyUs)
            : latencyUs;
    boolean cold = target.isCold(time.nanoTime());
    evidence.record(service, version, route, result, cold ? Double.NaN : comparedUs);
  }

  @Override
  public List<ShareGrant> grants() {
    List<ShareGrant> grants = new ArrayList<>(book.ends());
    for (Running move : moves.values()) {
      RolloutController judge = move.judge;
      if (judge != null && judge.state() == RolloutState.RUNNING) {
        grants.add(grant(move, judge));
      }
    }
    return grants;
  }

  @Override
  public void accept(List<ShareGrant> grants) {
    for (ShareGrant grant : grants) {
      boolean news = book.takeGrant(grant, time.nanoTime());
      if (news) {
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
      if (news && grant.state() != RolloutState.RUNNING) {
        publish(List.of(grant));
      }
    }
  }

  @Override
  public void accept(PeerMessage.Evidence reported) {
    for (Running move : moves.values()) {
      if (move.order.number() == reported.orderNumber()) {
        judge(move).accept(reported.domain(), move.elapsedMs(), reported.counts());
      }
    }
  }

  private RolloutController judge(Running move) {
    RolloutController held = move.judge;
    if (held != null) {
      return held;
    }
    PeerNetwork peers = network;
    String old =
        peers == null
            ? ""
            : book.currentVersion(move.order.service(), peers.candidates(move.order.service()));
    RolloutController created = new RolloutController(move.order, old, steps);
    ShareGrant earlier = book.grantOf(move.order.service());
    if (earlier != null && earlier.orderNumber() == move.order.number()) {
      created.resume(earlier.sharePermille());
    }
    move.judge = created;
    log.event("move_judged_here", "service", move.order.service(), "old", old);
    return created;
  }

  private void tick() {
    PeerNetwork peers = network;
    if (peers == null) {
      return;
    }
    List<RouteCounts> counts = evidence.drain();
    String judgeKey = peers.lowestKey();
    for (Running move : new ArrayList<>(moves.values())) {
      if (book.state(move.order) != RolloutState.RUNNING) {
        end(move);
        continue;
      }
      List<RouteCounts> own =
          counts.stream().filter(each -> each.service().equals(move.order.service())).toList();
      if (judgeKey.equals(nodeKey)) {
        RolloutController judge = judge(move);
        judge.accept(domain, move.elapsedMs(), own);
        decide(move, judge);
      } else if (!own.isEmpty()) {
        peers.send(judgeKey, new PeerMessage.Evidence(domain, move.order.number(), own));
      }
    }
    if (moves.isEmpty()) {
      vertx.cancelTimer(timer);
      timer = -1;
    }
  }

  private void decide(Running move, RolloutController judge) {
    if (move.row == null) {
      move.row =
          new RolloutProgressWriter(
              vertx, store, codec, move.order, (progress, at) -> ended(move, progress, at), log);
      move.row.want(RolloutState.RUNNING);
    }
    boolean changed = judge.decide(move.elapsedMs());
    long nowNanos = time.nanoTime();
    boolean due =
        move.renewedNanos == Long.MIN_VALUE
            || nowNanos - move.renewedNanos >= RENEW_MS * 1_000_000L;
    if (changed) {
      move.grantNumber++;
      log.event(
          "move_step",
          "service",
          move.order.service(),
          "to",
          move.order.toVersion(),
          "elapsed_ms",
          move.elapsedMs(),
          "share_permille",
          judge.sharePermille(),
          "state",
          judge.state(),
          "new_calls",
          judge.newCalls(),
          "reason",
          judge.reason());
    }
    if (changed || due) {
      move.renewedNanos = nowNanos;
      ShareGrant grant = grant(move, judge);
      book.takeGrant(grant, nowNanos);
      publish(List.of(grant));
    }
    if (judge.state() != RolloutState.RUNNING) {
      move.row.want(judge.state());
    }
  }

  private static ShareGrant grant(Running move, RolloutController judge) {
    return new ShareGrant(
        move.order.service(),
        move.order.toVersion(),
        move.order.number(),
        move.grantNumber,
        judge.sharePermille(),
        judge.state(),
        move.elapsedMs());
  }

  private void ended(Running move, RolloutProgress progress, long rowVersion) {
    book.progress(progress, rowVersion);
    publish(book.ends());
    log.event(
        "move_ended",
        "service",
        move.order.service(),
        "to",
        progress.toVersion(),
        "state",
        progress.state());
  }

  // The judge's row is kept until it is written; other nodes need nothing more of the move.
  private void end(Running move) {
    RolloutState state = book.state(move.order);
    RolloutProgressWriter row = move.row;
    PeerNetwork peers = network;
    if (row == null && peers != null && peers.lowestKey().equals(nodeKey)) {
      row =
          new RolloutProgressWriter(
              vertx, store, codec, move.order, (progress, at) -> ended(move, progress, at), log);
    }
    if (row != null) {
      row.want(state);
    }
    moves.remove(move.order.service(), move);
  }

  private void publish(List<ShareGrant> grants) {
    PeerNetwork peers = network;
    if (peers != null) {
      peers.publish(new PeerMessage.Moves(grants));
    }
  }
}
