package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.OperatorRows;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.RowHistory;
import org.acaciapond.mesh.peer.StateRequestScheduler;
import org.acaciapond.mesh.peer.StateSummary;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.sidecar.peer.StateExchange;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

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
  private final OperatorRows rows;
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
    this.rows = state.rows();
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
    return rows.rowVersion();
  }

  @Override
  public StateSummary summary() {
    return rows.summary();
  }

  private PeerMessage.StateRequest request() {
    List<PeerMessage.HeldRow> held = rows.history().held();
    return new PeerMessage.StateRequest(
        true, deltaRejected ? held.stream().map(OperatorStateExchange::asWhole).toList() : held);
  }

  // Names the row, so that the response shows its removal, but none of its values.
  private static PeerMessage.HeldRow asWhole(PeerMessage.HeldRow row) {
    return new PeerMessage.HeldRow(row.key(), RowHistory.WHOLE);
  }

  @Override
  public PeerMessage response(PeerMessage.StateRequest request) {
    return request.acceptsDeltas()
        ? rows.changesFor(request.held())
        : new PeerMessage.StateRows(rows.history().current());
  }

  @Override
  public void onRowsSent(int bytes) {
    metrics.countStateBytesSent(bytes);
  }

  @Override
  public void onPeerState(String peer, @Nullable StateSummary summary, long rowVersion) {
    boolean newer =
        summary == null
            ? versionInPresentEra(rowVersion).isAfter(rows.completeTo())
            : rows.isBehind(summary);
    if (!newer) {
      return;
    }
    boolean wasBehind = scheduler.isBehind(rows.completeTo());
    scheduler.announce(
        peer, summary == null ? versionInPresentEra(rowVersion) : summary.completeTo());
    if (!wasBehind) {
      startWaiting();
      if (receivesChangesFromStore.getAsBoolean()) {
        vertx.setTimer(STORE_READER_DELAY_MS, id -> check());
      }
    }
    check();
  }

  // Nodes of earlier releases do not know eras.
  private StoreVersion versionInPresentEra(long version) {
    return new StoreVersion(rows.completeTo().era(), version);
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
    state.expireLostOrders();
    long nowNanos = time.nanoTime();
    if (scheduler.isBehind(rows.completeTo())
        && nowNanos - behindSinceNanos >= storeReaderDelayMs() * 1_000_000L) {
      requestRows(nowNanos);
    }
  }

  private int storeReaderDelayMs() {
    if (!receivesChangesFromStore.getAsBoolean()) {
      return 0;
    }
    return rows.completeTo().equals(StoreVersion.NONE)
        ? STARTING_NODE_DELAY_MS
        : STORE_READER_DELAY_MS;
  }

  private void requestRows(long nowNanos) {
    String peer = scheduler.nextPeer(rows.completeTo(), nowNanos);
    if (peer != null) {
      requestCount++;
      requestSender.accept(peer, request());
    }
  }

  @Override
  public void accept(PeerMessage.StateRows received) {
    int bytes = received.rows().stream().mapToInt(row -> row.value().length).sum();
    List<PeerMessage.StateRow> inEra = received.rows().stream().map(this::inPresentEra).toList();
    apply(inEra, List.of(), latestVersion(inEra), true, bytes);
  }

  @Override
  public void accept(PeerMessage.StateDeltas deltas) {
    deltaRejected = false;
    List<PeerMessage.StateRow> restored = new ArrayList<>();
    int bytes = 0;
    for (PeerMessage.RowDelta delta : deltas.rows()) {
      bytes += delta.delta().length;
      try {
        restored.add(rows.history().restore(inPresentEra(delta)));
      } catch (PeerException e) {
        // The next request asks for whole rows.
        deltaRejected = true;
        log.event("state_delta_rejected", "key", delta.key(), "problem", e.getMessage());
      }
    }
    StoreVersion completeTo = deltas.completeTo();
    StoreVersion version = completeTo == null ? latestVersion(restored) : completeTo;
    apply(restored, deltas.removed(), version, !deltaRejected, bytes);
  }

  private PeerMessage.StateRow inPresentEra(PeerMessage.StateRow row) {
    StoreVersion version = row.rowVersion().inEraIfUnknown(rows.completeTo().era());
    return new PeerMessage.StateRow(row.key(), version, row.value());
  }

  private PeerMessage.RowDelta inPresentEra(PeerMessage.RowDelta row) {
    long era = rows.completeTo().era();
    return new PeerMessage.RowDelta(
        row.key(),
        row.rowVersion().inEraIfUnknown(era),
        row.baseVersion().inEraIfUnknown(era),
        row.delta());
  }

  // Peers of earlier releases do not tell up to which version they know all rows.
  private static StoreVersion latestVersion(List<PeerMessage.StateRow> received) {
    return received.stream()
        .map(PeerMessage.StateRow::rowVersion)
        .max(Comparator.naturalOrder())
        .orElse(StoreVersion.NONE);
  }

  private void apply(
      List<PeerMessage.StateRow> received,
      List<String> removed,
      StoreVersion version,
      boolean complete,
      int bytes) {
    logReceived(received.size(), bytes);
    state.applyPeerRows(
        received.stream()
            .map(row -> new StoreRow(row.key(), row.value(), row.rowVersion(), false))
            .toList(),
        removed,
        version,
        complete);
    scheduler.responseReceived(rows.completeTo(), time.nanoTime());
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
