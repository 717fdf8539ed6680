package org.acaciapond.sidecar.state;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.NodeRow;
import org.acaciapond.mesh.peer.NodeRowCodec;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.mesh.store.WriteOutcome;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.mesh.target.TargetDepartures;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Client of the table of nodes in the store: maintains this node's row and reports the rows of
 * other nodes. A node reads the table after it has written its own row. Of any two nodes, the one
 * that registers later therefore finds the other and connects to it, and the other learns of it
 * through that connection; no node has to watch the table for changes.
 *
 * <p>The row of a node also holds the confirmed departures of its target, so that they outlive the
 * processes of all nodes. Each write is conditional on the version of the row that was read, so
 * that a delayed write of an earlier process cannot remove a departure.
 */
public final class NodeRegistry {

  // Spreads the writes of nodes that start together; the store limits writes per second.
  private static final int MIN_REGISTER_DELAY_MS = 20;
  private static final int REGISTER_SPREAD_MS = 200;
  private static final int MIN_BACKOFF_MS = 250;
  private static final int MAX_BACKOFF_MS = 1_000;
  // A periodic read detects that another writer has changed or removed this node's row.
  private static final int REFRESH_INTERVAL_MS = 60_000;
  // Spreads the reads of all nodes when the store has come back from an older copy.
  private static final int ERA_REFRESH_SPREAD_MS = 1_000;
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final MeshStore store;
  private final NodeRecord self;
  private final Consumer<NodeRow> onNode;
  private final Consumer<TargetDeparture> onDeparture;
  private final Runnable onRead;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final DoubleSupplier random;
  private final Map<String, StoreVersion> rowVersions = new HashMap<>();
  private final List<PendingDeparture> pendingDepartures = new ArrayList<>();
  // Departures that the row has to hold, and those that it is known to hold.
  private TargetDepartures departures = TargetDepartures.NONE;
  private TargetDepartures storedDepartures = TargetDepartures.NONE;
  private boolean tableRead;
  private boolean registered;
  private boolean rowVersionKnown;
  private long refreshTimer = NO_TIMER;
  // Era in which the table was read, and the latest known one of the store.
  private long tableEra;
  private long storeEra;
  private int backoffMs = MIN_BACKOFF_MS;

  /** Departure that somebody waits for to be stored. */
  private record PendingDeparture(TargetDeparture departure, UniEmitter<? super Void> emitter) {}

  /** Creates a registry. */
  public NodeRegistry(
      Vertx vertx,
      MeshStore store,
      NodeRecord self,
      Consumer<NodeRow> onNode,
      Consumer<TargetDeparture> onDeparture,
      Runnable onRead,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random) {
    this.vertx = vertx;
    this.store = store;
    this.self = self;
    this.onNode = onNode;
    this.onDeparture = onDeparture;
    this.onRead = onRead;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
  }

  /** Starts to read the table and to maintain this node's row. */
  public void start() {
    read();
  }

  /** Returns whether the table, and so this node's row, has been read since the start. */
  public boolean isTableRead() {
    return tableRead;
  }

  /**
   * Reads the table again because the store has come back from an older copy, which may lack this
   * node's row or the departures in it.
   */
  public void onEraChanged(long era) {
    storeEra = era;
    if (vertx.cancelTimer(refreshTimer)) {
      scheduleRefresh();
    }
  }

  private void scheduleRefresh() {
    int delayMs =
        tableEra < storeEra
            ? 1 + (int) (random.getAsDouble() * ERA_REFRESH_SPREAD_MS)
            : REFRESH_INTERVAL_MS;
    refreshTimer = vertx.setTimer(delayMs, id -> read());
  }

  /** Stores a departure of the target in this node's row; completes once the row holds it. */
  public Uni<Void> recordDeparture(TargetDeparture departure) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              if (storedDepartures.covers(departure)) {
                emitter.complete(null);
                return;
              }
              PendingDeparture pending = new PendingDeparture(departure, emitter);
              pendingDepartures.add(pending);
              emitter.onTermination(() -> pendingDepartures.remove(pending));
              departures = departures.with(departure);
              if (vertx.cancelTimer(refreshTimer)) {
                updateRow();
              }
            });
  }

  // Not called while a read, a write or a delayed write is under way: its end shows whether the row
  // has to be written again.
  private void updateRow() {
    refreshTimer = NO_TIMER;
    if (rowVersionKnown) {
      write();
    } else {
      read();
    }
  }

  private void read() {
    store.read(StoreArea.NODES).subscribe().with(this::onRows, this::onFailure);
  }

  private void onFailure(Throwable error) {
    metrics.countStoreCall("failed");
    log.event("node_table_unread", "error", error.getMessage());
    retry(this::read);
  }

  private void retry(Runnable step) {
    long delayMs = (long) (backoffMs * (0.5 + random.getAsDouble()));
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    vertx.setTimer(Math.max(1, delayMs), id -> step.run());
  }

  private void onRows(StoreRows rows) {
    metrics.countStoreCall("ok");
    metrics.countMalformedRows(StoreArea.NODES, rows.malformed());
    backoffMs = MIN_BACKOFF_MS;
    registered = false;
    tableEra = rows.version().era();
    rowVersionKnown = true;
    rowVersions.remove(self.key());
    storedDepartures = TargetDepartures.NONE;
    for (StoreRow row : rows.rows()) {
      boolean newer = row.version().isAfter(rowVersions.getOrDefault(row.key(), StoreVersion.NONE));
      rowVersions.put(row.key(), row.version());
      if (newer) {
        processRow(row);
      }
    }
    tableRead = true;
    onRead.run();
    completeStoredDepartures();
    maintainRow();
  }

  private void maintainRow() {
    if (registered && storedDepartures.coversAll(departures)) {
      scheduleRefresh();
    } else if (registered || !pendingDepartures.isEmpty()) {
      write();
    } else {
      vertx.setTimer(
          MIN_REGISTER_DELAY_MS + (long) (random.getAsDouble() * REGISTER_SPREAD_MS),
          id -> write());
    }
  }

  private void processRow(StoreRow row) {
    try {
      NodeRow decoded = NodeRowCodec.decode(row.value());
      NodeRecord node = decoded.node();
      if (!node.key().equals(row.key()) || node.port() < 1 || node.port() > 65_535) {
        ignoreRow(row, "key differs from the node key or port is invalid");
      } else if (node.key().equals(self.key())) {
        registered = hasCurrentAddress(node);
        restoreDepartures(decoded.departures());
      } else {
        onNode.accept(decoded);
      }
    } catch (PeerException e) {
      ignoreRow(row, e.getMessage());
    }
  }

  private void ignoreRow(StoreRow row, @Nullable String problem) {
    metrics.countMalformedRows(StoreArea.NODES, 1);
    log.event("node_row_ignored", "key", row.key(), "problem", problem);
  }

  private boolean hasCurrentAddress(NodeRecord node) {
    return node.host().equals(self.host())
        && node.port() == self.port()
        && node.domain().equals(self.domain())
        && node.service().equals(self.service());
  }

  private void restoreDepartures(TargetDepartures stored) {
    storedDepartures = stored;
    for (TargetDeparture departure : stored.all()) {
      if (!departures.covers(departure)) {
        departures = departures.with(departure);
        onDeparture.accept(departure);
      }
    }
  }

  private void write() {
    TargetDepartures written = departures;
    StoreVersion expected = rowVersions.getOrDefault(self.key(), StoreVersion.ABSENT);
    store
        .write(
            StoreArea.NODES, self.key(), NodeRowCodec.encode(new NodeRow(self, written)), expected)
        .subscribe()
        .with(
            outcome -> onWritten(outcome, written),
            error -> {
              log.event("node_unregistered", "error", error.getMessage());
              onWritten(WriteOutcome.UNKNOWN, written);
            });
  }

  // Unless the write took effect, the next read shows the current row.
  private void onWritten(WriteOutcome outcome, TargetDepartures written) {
    metrics.countStoreCall("write_" + outcome);
    log.event("node_registered", "outcome", outcome, "departures", written.all().size());
    rowVersionKnown = false;
    if (outcome != WriteOutcome.WRITTEN) {
      retry(this::read);
      return;
    }
    storedDepartures = written;
    completeStoredDepartures();
    if (registered && written.coversAll(departures)) {
      maintainRow();
    } else {
      read();
    }
  }

  private void completeStoredDepartures() {
    List<PendingDeparture> stored =
        pendingDepartures.stream()
            .filter(each -> storedDepartures.covers(each.departure()))
            .toList();
    pendingDepartures.removeAll(stored);
    stored.forEach(each -> each.emitter().complete(null));
  }
}
