package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.StateRequestScheduler;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.sidecar.peer.StateExchange;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Exchange of the operator's rows with peers: requests newer rows and responds to requests. */
public final class OperatorStateExchange implements StateExchange {

  // A node that reads changes from the store gets this one at the same time as the peer, so it
  // requests the rows from the peer only if they have not arrived after a delay.
  private static final int STORE_READER_DELAY_MS = 100;
  // A starting node reads the whole state from the store, which takes longer than one change.
  private static final int STARTING_NODE_DELAY_MS = 500;

  private final Vertx vertx;
  private final OperatorState state;
  private final BooleanSupplier receivesChangesFromStore;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final StateRequestScheduler scheduler;
  private BiConsumer<String, PeerMessage> requestSender = (peer, message) -> {};
  private boolean deltaRejected;
  // When this node fell behind its peers; meaningless while it is not behind.
  private long behindSinceNanos;
  private int requestCount;

  /**
   * Creates an exchange.
   *
   * @param receivesChangesFromStore whether the store sends changes to this node
   */
  public OperatorStateExchange(
      Vertx vertx,
      OperatorState state,
      BooleanSupplier receivesChangesFromStore,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random,
      TimeSource time) {
    this.vertx = vertx;
    this.state = state;
    this.receivesChangesFromStore = receivesChangesFromStore;
    this.log = log;
    this.metrics = metrics;
    this.time = time;
    this.scheduler = new StateRequestScheduler(random);
  }

  /** Sets the sender of messages to the peer with a key. */
  public void setRequestSender(BiConsumer<String, PeerMessage> sender) {
    requestSender = sender;
  }

  @Override
  public long rowVersion() {
    return state.version();
  }

  private PeerMessage.StateRequest request() {
    return new PeerMessage.StateRequest(true, deltaRejected ? List.of() : state.history().held());
  }

  @Override
  public PeerMessage response(PeerMessage.StateRequest request) {
    return request.acceptsDeltas()
        ? new PeerMessage.StateDeltas(state.history().newerThan(request.held()))
        : new PeerMessage.StateRows(state.history().current());
  }

  @Override
  public void onRowsSent(int bytes) {
    metrics.countStateBytesSent(bytes);
  }

  @Override
  public void onPeerVersion(String peer, long version) {
    if (version <= state.version()) {
      return;
    }
    boolean wasBehind = scheduler.isBehind(state.version());
    scheduler.announce(peer, version);
    if (!wasBehind) {
      startWaiting();
      if (receivesChangesFromStore.getAsBoolean()) {
        vertx.setTimer(STORE_READER_DELAY_MS, id -> check());
      }
    }
    check();
  }

  private void startWaiting() {
    behindSinceNanos = time.nanoTime();
    requestCount = 0;
  }

  @Override
  public void onPeerDisconnected(String peer) {
    scheduler.disconnected(peer);
  }

  @Override
  public void check() {
    long nowNanos = time.nanoTime();
    if (scheduler.isBehind(state.version())
        && nowNanos - behindSinceNanos >= storeReaderDelayMs() * 1_000_000L) {
      requestRows(nowNanos);
    }
  }

  private int storeReaderDelayMs() {
    if (!receivesChangesFromStore.getAsBoolean()) {
      return 0;
    }
    return state.version() < 0 ? STARTING_NODE_DELAY_MS : STORE_READER_DELAY_MS;
  }

  private void requestRows(long nowNanos) {
    String peer = scheduler.nextPeer(state.version(), nowNanos);
    if (peer != null) {
      requestCount++;
      requestSender.accept(peer, request());
    }
  }

  @Override
  public void accept(PeerMessage.StateRows rows) {
    int bytes = rows.rows().stream().mapToInt(row -> row.value().length).sum();
    apply(rows.rows(), bytes);
  }

  @Override
  public void accept(PeerMessage.StateDeltas deltas) {
    deltaRejected = false;
    List<PeerMessage.StateRow> rows = new ArrayList<>();
    int bytes = 0;
    for (PeerMessage.RowDelta delta : deltas.rows()) {
      bytes += delta.delta().length;
      try {
        rows.add(state.history().restore(delta));
      } catch (PeerException e) {
        // The next request asks for whole rows.
        deltaRejected = true;
        log.event("state_delta_rejected", "key", delta.key(), "problem", e.getMessage());
      }
    }
    apply(rows, bytes);
  }

  private void apply(List<PeerMessage.StateRow> rows, int bytes) {
    logReceived(rows.size(), bytes);
    state.apply(
        rows.stream()
            .map(row -> new StoreRow(row.key(), row.value(), row.rowVersion(), false))
            .toList(),
        "peer");
    scheduler.responseReceived(state.version(), time.nanoTime());
    check();
  }

  private void logReceived(int rows, int bytes) {
    log.event(
        "state_received",
        "rows",
        rows,
        "bytes",
        bytes,
        "requests",
        requestCount,
        "behind_ms",
        (time.nanoTime() - behindSinceNanos) / 1_000_000);
    startWaiting();
  }
}
