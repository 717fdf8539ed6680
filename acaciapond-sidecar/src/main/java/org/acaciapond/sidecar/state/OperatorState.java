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

/** The operator's rows that this node holds, whoever delivered them. */
public final class OperatorState {

  private final PlatformCodec codec;
  private final DesiredStateHolder holder;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final Map<String, StoreRow> rows = new HashMap<>();
  private long version = -1;
  private Runnable onChange = () -> {};
  private Consumer<RolloutOrder> onOrder = order -> {};

  /** Creates an empty state. */
  public OperatorState(
      PlatformCodec codec, DesiredStateHolder holder, EventLog log, NodeMetrics metrics) {
    this.codec = codec;
    this.holder = holder;
    this.log = log;
    this.metrics = metrics;
  }

  /** Sets what follows a change of the rows that are held. */
  public void onChange(Runnable listener) {
    onChange = listener;
  }

  /** Sets who is told of orders to move traffic. */
  public void onOrder(Consumer<RolloutOrder> listener) {
    onOrder = listener;
  }

  /** Applies rows; an older version of a row than the one held changes nothing. */
  public void apply(List<StoreRow> delivered, String source) {
    boolean changed = false;
    for (StoreRow row : delivered) {
      StoreRow held = rows.get(row.key());
      if (held == null || row.version() > held.version()) {
        rows.put(row.key(), row);
        // Removed rows are not passed on, so they must not raise the version that peers ask for.
        version = row.removed() ? version : Math.max(version, row.version());
        applyFact(row, source);
        changed = true;
      }
    }
    if (changed) {
      onChange.run();
    }
  }

  private void applyFact(StoreRow row, String source) {
    OperatorRow fact = codec.decodeOperatorRow(row);
    if (fact instanceof OperatorRow.State state) {
      boolean inForce = holder.offer(state.state());
      log.event(
          "desired_state",
          "version",
          state.state().version(),
          "row_version",
          row.version(),
          "source",
          source,
          "in_force",
          inForce);
      if (inForce) {
        metrics.stateVersion(state.state().version());
      }
    } else if (fact instanceof OperatorRow.Order order) {
      onOrder.accept(order.order());
    } else if (fact instanceof OperatorRow.Unknown unknown) {
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

  /** Returns the highest version of the rows that are held, -1 without any. */
  public long version() {
    return version;
  }

  /** Returns the rows for a peer. */
  public List<PeerMessage.StateRow> held() {
    List<PeerMessage.StateRow> held = new ArrayList<>();
    for (StoreRow row : rows.values()) {
      if (!row.removed()) {
        held.add(new PeerMessage.StateRow(row.key(), row.version(), row.value()));
      }
    }
    return held;
  }
}
