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

/** Feed of one area of the store: all rows once, then changes as they come. */
public final class StoreFeed {

  private static final long NO_VERSION = -1;
  private static final int MIN_BACKOFF_MS = 100;
  private static final int MAX_BACKOFF_MS = 1_000;

  private final Vertx vertx;
  private final MeshStore store;
  private final StoreArea area;
  private final Supplier<Duration> wait;
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
   * @param wait longest time that the store holds the next question for changes; a connection that
   *     fell silent is noticed after that time
   */
  public StoreFeed(
      Vertx vertx,
      MeshStore store,
      StoreArea area,
      Supplier<Duration> wait,
      Consumer<List<StoreRow>> onRows,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random) {
    this.vertx = vertx;
    this.store = store;
    this.area = area;
    this.wait = wait;
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
    boolean whole = version == NO_VERSION;
    (whole ? store.read(area) : store.changes(area, version, wait.get()))
        .subscribe()
        .with(this::onAnswer, this::onFailure);
  }

  private void onAnswer(StoreRows rows) {
    metrics.storeCall("ok");
    if (lost) {
      lost = false;
      log.event("store_regained", "area", area);
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
    }
    long delayMs = Math.max(1, (long) (backoffMs * (0.5 + random.getAsDouble())));
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    vertx.setTimer(delayMs, id -> next());
  }
}
