package org.acaciapond.sidecar.rollout;

import io.vertx.core.Vertx;
import org.acaciapond.mesh.platform.PlatformCodec;
import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.rollout.RolloutProgress;
import org.acaciapond.mesh.rollout.RolloutState;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.mesh.store.WriteOutcome;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Writer of the row that records the progress of one rollout. It reads the row before each write
 * and makes the write conditional on the version that it read, so that only one of several
 * analyzers ends a rollout. The next read resolves an unknown outcome.
 */
final class RolloutProgressWriter {

  private static final int RETRY_DELAY_MS = 250;

  private final Vertx vertx;
  private final MeshStore store;
  private final PlatformCodec codec;
  private final RolloutOrder order;
  private final Listener listener;
  private final EventLog log;
  private RolloutState desiredState = RolloutState.RUNNING;
  private @Nullable RolloutState writtenState;
  private boolean updating;

  /** Listener for the stored progress. */
  interface Listener {
    /** Called when the row, written by any node, records the end of this order. */
    void onEnded(RolloutProgress progress, long rowNumber);
  }

  RolloutProgressWriter(
      Vertx vertx,
      MeshStore store,
      PlatformCodec codec,
      RolloutOrder order,
      Listener listener,
      EventLog log) {
    this.vertx = vertx;
    this.store = store;
    this.codec = codec;
    this.order = order;
    this.listener = listener;
    this.log = log;
  }

  /** Sets the state that the row should record. */
  void setDesiredState(RolloutState state) {
    desiredState = state;
    if (!updating) {
      read();
    }
  }

  private void read() {
    if (desiredState == writtenState) {
      return;
    }
    updating = true;
    store.read(StoreArea.ROLLOUTS).subscribe().with(this::onRows, this::onFailure);
  }

  private void onRows(StoreRows rows) {
    if (rows.version().era() > StoreVersion.ofNumber(order.number()).era()) {
      // The rows cannot be compared with the order until it has a number of their era; the writer
      // of the order with that number takes over.
      updating = false;
      return;
    }
    StoreRow current = null;
    for (StoreRow row : rows.rows()) {
      if (row.key().equals(codec.rolloutKey(order.service())) && !row.removed()) {
        current = row;
      }
    }
    RolloutProgress progress = current == null ? null : codec.decodeProgress(current);
    if (current != null
        && progress != null
        && current.version().toNumber() > order.number()
        && progress.toVersion().equals(order.toVersion())) {
      if (progress.state() != RolloutState.RUNNING) {
        updating = false;
        writtenState = desiredState;
        listener.onEnded(progress, current.version().toNumber());
        return;
      }
      if (progress.state() == desiredState) {
        updating = false;
        writtenState = desiredState;
        return;
      }
    }
    RolloutState state = desiredState;
    byte[] value =
        codec.encodeProgress(new RolloutProgress(order.service(), order.toVersion(), state));
    store
        .write(
            StoreArea.ROLLOUTS,
            codec.rolloutKey(order.service()),
            value,
            current == null ? StoreVersion.ABSENT : current.version())
        .subscribe()
        .with(outcome -> onWritten(state, outcome), this::onFailure);
  }

  private void onWritten(RolloutState state, WriteOutcome outcome) {
    log.event(
        "move_row",
        "service",
        order.service(),
        "to",
        order.toVersion(),
        "state",
        state,
        "outcome",
        outcome);
    if (outcome == WriteOutcome.WRITTEN) {
      updating = false;
      writtenState = state;
      if (desiredState != state) {
        read();
      }
    } else {
      retryLater();
    }
  }

  private void onFailure(Throwable error) {
    log.event("move_row_failed", "service", order.service(), "error", error.getMessage());
    retryLater();
  }

  private void retryLater() {
    vertx.setTimer(RETRY_DELAY_MS, id -> read());
  }
}
