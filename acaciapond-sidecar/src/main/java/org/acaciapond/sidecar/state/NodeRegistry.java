package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerCodec;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.store.WriteOutcome;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/**
 * Client of the table of nodes in the store: maintains this node's row and reports the rows of
 * other nodes. A node reads the table after it has written its own row. Of any two nodes, the one
 * that registers later therefore finds the other and connects to it, and the other learns of it
 * through that connection; no node has to watch the table for changes.
 */
public final class NodeRegistry {

  // Spreads the writes of nodes that start together; the store limits writes per second.
  private static final int MIN_REGISTER_DELAY_MS = 20;
  private static final int REGISTER_SPREAD_MS = 200;
  private static final int MIN_BACKOFF_MS = 250;
  private static final int MAX_BACKOFF_MS = 1_000;
  // A periodic read detects that another writer has changed or removed this node's row.
  private static final int REFRESH_INTERVAL_MS = 60_000;

  private final Vertx vertx;
  private final MeshStore store;
  private final NodeRecord self;
  private final Consumer<NodeRecord> onNode;
  private final Runnable onRead;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final DoubleSupplier random;
  private final Map<String, Long> rowVersions = new HashMap<>();
  private boolean registered;
  private int backoffMs = MIN_BACKOFF_MS;

  /** Creates a registry. */
  public NodeRegistry(
      Vertx vertx,
      MeshStore store,
      NodeRecord self,
      Consumer<NodeRecord> onNode,
      Runnable onRead,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random) {
    this.vertx = vertx;
    this.store = store;
    this.self = self;
    this.onNode = onNode;
    this.onRead = onRead;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
  }

  /** Starts to read the table and to maintain this node's row. */
  public void start() {
    read();
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
    backoffMs = MIN_BACKOFF_MS;
    registered = false;
    for (StoreRow row : rows.rows()) {
      boolean newer = row.version() > rowVersions.getOrDefault(row.key(), 0L);
      rowVersions.put(row.key(), row.version());
      if (newer || row.key().equals(self.key())) {
        processRow(row);
      }
    }
    onRead.run();
    if (registered) {
      vertx.setTimer(REFRESH_INTERVAL_MS, id -> read());
    } else {
      vertx.setTimer(
          MIN_REGISTER_DELAY_MS + (long) (random.getAsDouble() * REGISTER_SPREAD_MS),
          id -> register());
    }
  }

  private void processRow(StoreRow row) {
    try {
      NodeRecord node = PeerCodec.decodeNode(row.value());
      if (!node.key().equals(row.key()) || node.port() < 1 || node.port() > 65_535) {
        log.event(
            "node_row_ignored",
            "key",
            row.key(),
            "problem",
            "key differs from the node key or port is invalid");
      } else if (node.key().equals(self.key())) {
        registered |= hasCurrentAddress(node);
      } else {
        onNode.accept(node);
      }
    } catch (PeerException e) {
      log.event("node_row_ignored", "key", row.key(), "problem", e.getMessage());
    }
  }

  private boolean hasCurrentAddress(NodeRecord node) {
    return node.host().equals(self.host())
        && node.port() == self.port()
        && node.domain().equals(self.domain())
        && node.service().equals(self.service());
  }

  private void register() {
    long expected = rowVersions.getOrDefault(self.key(), 0L);
    store
        .write(StoreArea.NODES, self.key(), PeerCodec.encodeNode(self), expected)
        .subscribe()
        .with(
            this::onWritten,
            error -> {
              log.event("node_unregistered", "error", error.getMessage());
              onWritten(WriteOutcome.UNKNOWN);
            });
  }

  // The next read shows the current row, whatever the outcome was.
  private void onWritten(WriteOutcome outcome) {
    metrics.countStoreCall("write_" + outcome);
    log.event("node_registered", "outcome", outcome);
    if (outcome == WriteOutcome.WRITTEN) {
      read();
    } else {
      retry(this::read);
    }
  }
}
