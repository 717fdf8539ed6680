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
import org.acaciapond.mesh.store.WriteOutcome;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Writer of the row that states how far one move is. It reads before each write and writes under
 * the version that it read, so that of several judges only one ends a move; an unknown outcome is
 * settled by the next read.
 */
final class RolloutProgressWriter {

  private static final int RETRY_MS = 250;

  private final Vertx vertx;
  private final MeshStore store;
  private final PlatformCodec codec;
  private final RolloutOrder order;
  private final Listener listener;
  private final EventLog log;
  private RolloutState wanted = RolloutState.RUNNING;
  private @Nullable RolloutState written;
  private boolean busy;

  /** Receives what the store holds. */
  interface Listener {
    /** The row states the end of this order, whoever wrote it. */
    void ended(RolloutProgress progress, long rowVersion);
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

  /** Sets the state that the row is to have. */
  void want(RolloutState state) {
    wanted = state;
    if (!busy) {
      read();
    }
  }

  private void read() {
    if (wanted == written) {
      return;
    }
    busy = true;
    store.read(StoreArea.ROLLOUTS).subscribe().with(this::onRows, this::failed);
  }

  private void onRows(StoreRows rows) {
    StoreRow held = null;
    for (StoreRow row : rows.rows()) {
      if (row.key().equals(codec.rolloutKey(order.service())) && !row.removed()) {
        held = row;
      }
    }
    RolloutProgress progress = held == null ? null : codec.decodeProgress(held);
    if (held != null
        && progress != null
        && held.version() > order.number()
        && progress.toVersion().equals(order.toVersion())) {
      if (progress.state() != RolloutState.RUNNING) {
        busy = false;
        written = wanted;
        listener.ended(progress, held.version());
        return;
      }
      if (progress.state() == wanted) {
        busy = false;
        written = wanted;
        return;
      }
    }
    RolloutState state = wanted;
    byte[] value =
        codec.encodeProgress(new RolloutProgress(order.service(), order.toVersion(), state));
    store
        .write(
            StoreArea.ROLLOUTS,
            codec.rolloutKey(order.service()),
            value,
            held == null ? 0 : held.version())
        .subscribe()
        .with(outcome -> onWritten(state, outcome), this::failed);
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
      busy = false;
      written = state;
      if (wanted != state) {
        read();
      }
    } else {
      retry();
    }
  }

  private void failed(Throwable error) {
    log.event("move_row_failed", "service", order.service(), "error", error.getMessage());
    retry();
  }

  private void retry() {
    vertx.setTimer(RETRY_MS, id -> read());
  }
}
