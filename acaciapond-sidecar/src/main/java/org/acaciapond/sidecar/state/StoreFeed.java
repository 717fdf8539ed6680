package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreErrorCode;
import org.acaciapond.mesh.store.StoreException;
import org.acaciapond.mesh.store.StoreRow;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Feed of one area of the store: all rows once, then changes as they come, while it is this node's
 * part to ask for them.
 */
public final class StoreFeed {

  private static final long NO_VERSION = -1;
  private static final int MIN_BACKOFF_MS = 100;
  private static final int MAX_BACKOFF_MS = 1_000;
  private static final int ROLE_CHECK_MS = 250;

  private final Vertx vertx;
  private final MeshStore store;
  private final StoreArea area;
  private final Supplier<@Nullable Duration> wait;
  private final Consumer<Boolean> onServed;
  private final Consumer<List<StoreRow>> onRows;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final DoubleSupplier random;
  private long version = NO_VERSION;
  private int backoffMs = MIN_BACKOFF_MS;
  private boolean lost;
  private boolean stopped;

  /**
   * Creates a feed.
   *
   * @param wait longest time that the store holds the next question for changes, after which a
   *     connection that fell silent is noticed; null while other nodes ask
   * @param onServed told whether the store serves this node
   */
  public StoreFeed(
      Vertx vertx,
      MeshStore store,
      StoreArea area,
      Supplier<@Nullable Duration> wait,
      Consumer<Boolean> onServed,
      Consumer<List<StoreRow>> onRows,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random) {
    this.vertx = vertx;
    this.store = store;
    this.area = area;
    this.wait = wait;
    this.onServed = onServed;
    this.onRows = onRows;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
  }

  /** Starts to read. */
  public void start() {
    next();
  }

  /** Ends the feed after the question that is under way. */
  public void stop() {
    stopped = true;
  }

  private void next() {
    if (stopped) {
      return;
    }
    if (version == NO_VERSION) {
      store.read(area).subscribe().with(this::onAnswer, this::onFailure);
      return;
    }
    Duration longest = wait.get();
    if (longest == null) {
      vertx.setTimer(ROLE_CHECK_MS, id -> next());
    } else {
      store.changes(area, version, longest).subscribe().with(this::onAnswer, this::onFailure);
    }
  }

  private void onAnswer(StoreRows rows) {
    metrics.storeCall("ok");
    if (lost) {
      lost = false;
      log.event("store_regained", "area", area);
      onServed.accept(true);
    }
    backoffMs = MIN_BACKOFF_MS;
    version = Math.max(version, rows.version());
    if (!stopped) {
      onRows.accept(rows.rows());
      next();
    }
  }

  private void onFailure(Throwable error) {
    metrics.storeCall("failed");
    if (error instanceof StoreException failure && failure.code() == StoreErrorCode.HISTORY_GONE) {
      log.event("store_history_gone", "area", area, "after", version);
      version = NO_VERSION;
    } else if (!lost) {
      lost = true;
      log.event("store_lost", "area", area, "after", version, "error", error.getMessage());
      onServed.accept(false);
    }
    long delayMs = Math.max(1, (long) (backoffMs * (0.5 + random.getAsDouble())));
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    vertx.setTimer(delayMs, id -> next());
  }
}
