package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.StateRequestLimiter;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.sidecar.peer.StateExchange;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Exchange of the operator's rows with peers: requests newer rows and responds to requests. */
public final class OperatorStateExchange implements StateExchange {

  // A node that reads changes from the store gets this one at the same time as the peer, so it
  // requests the rows from the peer only if they have not arrived after a delay.
  private static final int STORE_READER_DELAY_MS = 100;

  private final Vertx vertx;
  private final OperatorState state;
  private final BooleanSupplier receivesChangesFromStore;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final StateRequestLimiter requestLimiter = new StateRequestLimiter();
  private boolean deltaRejected;
  // When a peer first announced rows that are newer than those of this node, 0 if none did.
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
      TimeSource time) {
    this.vertx = vertx;
    this.state = state;
    this.receivesChangesFromStore = receivesChangesFromStore;
    this.log = log;
    this.metrics = metrics;
    this.time = time;
  }

  @Override
  public long rowVersion() {
    return state.version();
  }

  @Override
  public PeerMessage.StateRequest request() {
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
  public void onPeerVersion(long version, Runnable sendRequest) {
    if (version <= state.version()) {
      return;
    }
    if (behindSinceNanos == 0) {
      behindSinceNanos = time.nanoTime();
    }
    if (receivesChangesFromStore.getAsBoolean()) {
      vertx.setTimer(STORE_READER_DELAY_MS, id -> requestRows(version, sendRequest));
    } else {
      requestRows(version, sendRequest);
    }
  }

  private void requestRows(long version, Runnable sendRequest) {
    if (requestLimiter.tryRequest(state.version(), version, time.nanoTime())) {
      requestCount++;
      sendRequest.run();
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
    requestLimiter.responseReceived();
    logReceived(rows.size(), bytes);
    state.apply(
        rows.stream()
            .map(row -> new StoreRow(row.key(), row.value(), row.rowVersion(), false))
            .toList(),
        "peer");
  }

  private void logReceived(int rows, int bytes) {
    long behindNanos = behindSinceNanos == 0 ? 0 : time.nanoTime() - behindSinceNanos;
    log.event(
        "state_received",
        "rows",
        rows,
        "bytes",
        bytes,
        "requests",
        requestCount,
        "behind_ms",
        behindNanos / 1_000_000);
    behindSinceNanos = 0;
    requestCount = 0;
  }
}
