package org.acaciapond.sidecar.state;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.evacuation.EvacuatedDomains;
import org.acaciapond.mesh.peer.OperatorRows;
import org.acaciapond.mesh.platform.OperatorRow;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.route.DesiredState;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Latest known rows of the operator, received from the store or from peers. */
public final class OperatorState {

  private static final String STORE = "store";
  private static final String PEER = "peer";

  private final PlatformCodec codec;
  private final DesiredStateHolder holder;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final OperatorRows rows = new OperatorRows();
  private final EvacuatedDomains evacuatedDomains = new EvacuatedDomains();
  private Runnable changeListener = () -> {};
  private long era;
  private LongConsumer eraListener = latest -> {};
  private Runnable evacuationListener = () -> {};
  private Consumer<RolloutOrder> orderListener = order -> {};

  /** Creates an empty state. */
  public OperatorState(
      PlatformCodec codec,
      DesiredStateHolder holder,
      EventLog log,
      NodeMetrics metrics,
      TimeSource time) {
    this.codec = codec;
    this.holder = holder;
    this.log = log;
    this.metrics = metrics;
    this.time = time;
  }

  /** Sets the listener that is called after rows have changed. */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  /** Sets the listener that is called after the evacuated failure domains have changed. */
  public void setEvacuationListener(Runnable listener) {
    evacuationListener = listener;
  }

  /** Sets the listener for a new era of the store, called before its rows are applied. */
  public void setEraListener(LongConsumer listener) {
    eraListener = listener;
  }

  /** Sets the listener for rollout orders. */
  public void setOrderListener(Consumer<RolloutOrder> listener) {
    orderListener = listener;
  }

  /** Applies all rows of the table in the store. */
  public void applyTable(StoreRows table) {
    process(rows.applyTable(table.rows(), table.version()), STORE);
  }

  /** Applies changes of the table in the store. */
  public void applyChanges(StoreRows changes) {
    process(rows.applyChanges(changes.rows(), changes.version()), STORE);
  }

  /** Applies rows of a peer; see {@link OperatorRows#applyPeerRows}. */
  public void applyPeerRows(
      List<StoreRow> received, List<String> removed, StoreVersion version, boolean complete) {
    process(rows.applyPeerRows(received, removed, version, complete), PEER);
  }

  private void process(List<StoreRow> applied, String source) {
    long latestEra = rows.completeTo().era();
    if (latestEra > era) {
      log.event("store_era", "from", era, "to", latestEra, "source", source);
      era = latestEra;
      metrics.setStoreEra(latestEra);
      eraListener.accept(latestEra);
    }
    applied.forEach(row -> applyRow(row, source));
    if (!applied.isEmpty()) {
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
          row.version().version(),
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
    } else if (decoded instanceof OperatorRow.Evacuation evacuation) {
      applyEvacuation(evacuation, row.version(), source);
    } else if (decoded instanceof OperatorRow.Unknown unknown) {
      log.event(
          "operator_row_ignored",
          "key",
          row.key(),
          "row_version",
          row.version().version(),
          "source",
          source,
          "problem",
          unknown.problem());
    }
  }

  private void applyEvacuation(OperatorRow.Evacuation order, StoreVersion version, String source) {
    if (!evacuatedDomains.apply(order, version, time.nanoTime())) {
      return;
    }
    log.event(
        order.inForce() ? "domain_evacuated" : "domain_evacuation_ended",
        "domain",
        order.domain(),
        "row_version",
        version.version(),
        "source",
        source);
    evacuationsChanged();
  }

  private void evacuationsChanged() {
    metrics.setEvacuatedDomains(evacuatedDomains.size());
    evacuationListener.run();
  }

  /** Ends evacuation orders that the store lost and the operator did not write again. */
  public void expireLostOrders() {
    if (evacuatedDomains.expireLostOrders(time.nanoTime())) {
      log.event("domain_evacuation_ended", "source", "lost_with_era");
      evacuationsChanged();
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

  /** Returns the rows that are held. */
  public OperatorRows rows() {
    return rows;
  }

  /** Returns the failure domains that are evacuated. */
  public EvacuatedDomains evacuatedDomains() {
    return evacuatedDomains;
  }
}
