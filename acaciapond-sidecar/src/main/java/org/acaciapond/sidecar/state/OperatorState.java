package org.acaciapond.sidecar.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.RowHistory;
import org.acaciapond.mesh.platform.OperatorRow;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.route.DesiredState;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Latest known rows of the operator, received from the store or from peers. */
public final class OperatorState {

  private static final long NO_VERSION = -1;

  private final PlatformCodec codec;
  private final DesiredStateHolder holder;
  private final EventLog log;
  private final NodeMetrics metrics;
  // Versions of all rows, also of removed ones.
  private final Map<String, Long> rowVersions = new HashMap<>();
  private final RowHistory history = new RowHistory();
  private long version = NO_VERSION;
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
      if (row.version() > rowVersions.getOrDefault(row.key(), NO_VERSION)) {
        rowVersions.put(row.key(), row.version());
        if (row.removed()) {
          // Removed rows are not sent to peers, so they must not raise the version that peers
          // request.
          history.remove(row.key());
        } else {
          version = Math.max(version, row.version());
          history.record(new PeerMessage.StateRow(row.key(), row.version(), row.value()));
        }
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
        reportUnknownKinds(state.state());
        reportSkippedEntries(state.state());
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

  private void reportUnknownKinds(DesiredState state) {
    List<String> routes = state.routesOfUnknownKind();
    metrics.setRoutesOfUnknownKind(routes.size());
    if (!routes.isEmpty()) {
      log.event(
          "request_kind_unknown",
          "version",
          state.version(),
          "routes",
          routes.size(),
          "first",
          routes.get(0));
    }
  }

  private void reportSkippedEntries(DesiredState state) {
    List<String> problems = state.problems();
    metrics.setSkippedEntries(problems.size());
    if (!problems.isEmpty()) {
      log.event(
          "state_entries_skipped",
          "version",
          state.version(),
          "entries",
          problems.size(),
          "first",
          problems.get(0));
    }
  }

  /** Returns the highest version of the current rows, -1 if there are none. */
  public long version() {
    return version;
  }

  /** Returns the current rows, without removed ones, and their earlier values. */
  public RowHistory history() {
    return history;
  }
}
