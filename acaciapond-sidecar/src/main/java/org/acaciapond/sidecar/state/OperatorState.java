package org.acaciapond.sidecar.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.platform.OperatorRow;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Latest known rows of the operator, received from the store or from peers. */
public final class OperatorState {

  private final PlatformCodec codec;
  private final DesiredStateHolder holder;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final Map<String, StoreRow> rows = new HashMap<>();
  private long version = -1;
  private Runnable changeListener = () -> {};
  private Consumer<RolloutOrder> orderListener = order -> {};

  /** Creates an empty state. */
  public OperatorState(
      PlatformCodec codec, DesiredStateHolder holder, EventLog log, NodeMetrics metrics) {
    this.codec = codec;
    this.holder = holder;
    this.log = log;
    this.metrics = metrics;
  }

  /** Sets the listener that is called after rows have changed. */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  /** Sets the listener for rollout orders. */
  public void setOrderListener(Consumer<RolloutOrder> listener) {
    orderListener = listener;
  }

  /** Applies rows; a row that is not newer than the current one is ignored. */
  public void apply(List<StoreRow> delivered, String source) {
    boolean changed = false;
    for (StoreRow row : delivered) {
      StoreRow current = rows.get(row.key());
      if (current == null || row.version() > current.version()) {
        rows.put(row.key(), row);
        // Removed rows are not sent to peers, so they must not raise the version that peers
        // request.
        version = row.removed() ? version : Math.max(version, row.version());
        applyRow(row, source);
        changed = true;
      }
    }
    if (changed) {
      changeListener.run();
    }
  }

  private void applyRow(StoreRow row, String source) {
    OperatorRow decoded = codec.decodeOperatorRow(row);
    if (decoded instanceof OperatorRow.State state) {
      boolean updated = holder.updateIfNewer(state.state());
      log.event(
          "desired_state",
          "version",
          state.state().version(),
          "row_version",
          row.version(),
          "source",
          source,
          "in_force",
          updated);
      if (updated) {
        metrics.setStateVersion(state.state().version());
      }
    } else if (decoded instanceof OperatorRow.Order order) {
      orderListener.accept(order.order());
    } else if (decoded instanceof OperatorRow.Unknown unknown) {
      log.event(
          "operator_row_ignored",
          "key",
          row.key(),
          "row_version",
          row.version(),
          "source",
          source,
          "problem",
          unknown.problem());
    }
  }

  /** Returns the highest version of the current rows, -1 if there are none. */
  public long version() {
    return version;
  }

  /** Returns the current rows in the form for peers, without removed ones. */
  public List<PeerMessage.StateRow> currentRows() {
    List<PeerMessage.StateRow> current = new ArrayList<>();
    for (StoreRow row : rows.values()) {
      if (!row.removed()) {
        current.add(new PeerMessage.StateRow(row.key(), row.version(), row.value()));
      }
    }
    return current;
  }
}
