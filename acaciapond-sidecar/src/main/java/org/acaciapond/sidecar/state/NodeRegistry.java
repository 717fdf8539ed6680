package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerCodec;
import org.acaciapond.mesh.peer.PeerException;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.WriteOutcome;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Table of nodes in the store: keeps this node's row and passes on those of others. */
public final class NodeRegistry {

  // Spreads the writes of nodes that start together; the store bounds writes a second.
  private static final int MIN_DELAY_MS = 20;
  private static final int SPREAD_MS = 200;

  private final Vertx vertx;
  private final MeshStore store;
  private final NodeRecord self;
  private final Consumer<NodeRecord> onNode;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final DoubleSupplier random;
  private final Map<String, Long> versions = new HashMap<>();
  private boolean registered;
  private boolean writing;

  /** Creates a registry. */
  public NodeRegistry(
      Vertx vertx,
      MeshStore store,
      NodeRecord self,
      Consumer<NodeRecord> onNode,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random) {
    this.vertx = vertx;
    this.store = store;
    this.self = self;
    this.onNode = onNode;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
  }

  /** Applies rows of the table. */
  public void apply(List<StoreRow> rows) {
    for (StoreRow row : rows) {
      if (row.version() <= versions.getOrDefault(row.key(), 0L)) {
        continue;
      }
      versions.put(row.key(), row.version());
      if (!row.removed()) {
        decode(row);
      }
    }
    if (!registered && !writing) {
      writing = true;
      vertx.setTimer(MIN_DELAY_MS + (long) (random.getAsDouble() * SPREAD_MS), id -> register());
    }
  }

  private void decode(StoreRow row) {
    try {
      NodeRecord node = PeerCodec.decodeNode(row.value());
      if (!node.key().equals(row.key()) || node.port() < 1 || node.port() > 65_535) {
        log.event("node_row_ignored", "key", row.key(), "problem", "not a node's own row");
      } else if (node.key().equals(self.key())) {
        registered |= sameAddress(node);
      } else {
        onNode.accept(node);
      }
    } catch (PeerException e) {
      log.event("node_row_ignored", "key", row.key(), "problem", e.getMessage());
    }
  }

  private boolean sameAddress(NodeRecord node) {
    return node.host().equals(self.host())
        && node.port() == self.port()
        && node.zone().equals(self.zone())
        && node.service().equals(self.service());
  }

  private void register() {
    if (registered) {
      writing = false;
      return;
    }
    long expected = versions.getOrDefault(self.key(), 0L);
    store
        .write(StoreArea.NODES, self.key(), PeerCodec.encodeNode(self), expected)
        .subscribe()
        .with(this::onWritten, error -> onWritten(WriteOutcome.UNKNOWN));
  }

  private void onWritten(WriteOutcome outcome) {
    metrics.storeCall("write_" + outcome);
    log.event("node_registered", "outcome", outcome);
    writing = false;
    if (outcome == WriteOutcome.WRITTEN) {
      registered = true;
      return;
    }
    // A conflict or an unknown outcome is settled by what the feed shows next.
    writing = true;
    vertx.setTimer(500 + (long) (random.getAsDouble() * 500), id -> register());
  }
}
