package org.acaciapond.sidecar.state;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.acaciapond.mesh.store.MeshStore;
import org.acaciapond.mesh.store.StoreArea;
import org.acaciapond.mesh.store.StoreErrorCode;
import org.acaciapond.mesh.store.StoreException;
import org.acaciapond.mesh.store.StoreRows;
import org.acaciapond.mesh.store.StoreVersion;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/**
 * Feed of one area of the store: reads all rows once, then waits for changes as long as this node
 * is one of those that read them from the store.
 */
public final class StoreFeed {

  private static final int MIN_BACKOFF_MS = 100;
  private static final int MAX_BACKOFF_MS = 1_000;
  private static final int READER_CHECK_INTERVAL_MS = 250;

  private final Vertx vertx;
  private final MeshStore store;
  private final StoreArea area;
  private final Supplier<@Nullable Duration> maxWait;
  private final Consumer<Boolean> onAvailable;
  private final Consumer<StoreRows> onTable;
  private final Consumer<StoreRows> onChanges;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final DoubleSupplier random;
  private StoreVersion version = StoreVersion.NONE;
  private int backoffMs = MIN_BACKOFF_MS;
  private boolean unavailable;
  private boolean stopped;

  /**
   * Creates a feed.
   *
   * @param maxWait longest time that the store may hold the next request for changes, after which a
   *     connection that has stopped responding is noticed; null while other nodes read changes
   * @param onAvailable called with whether the store responds to this node, on each change
   * @param onTable called with all rows of the area
   * @param onChanges called with the changes that follow on the rows of the previous call
   */
  public StoreFeed(
      Vertx vertx,
      MeshStore store,
      StoreArea area,
      Supplier<@Nullable Duration> maxWait,
      Consumer<Boolean> onAvailable,
      Consumer<StoreRows> onTable,
      Consumer<StoreRows> onChanges,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random) {
    this.vertx = vertx;
    this.store = store;
    this.area = area;
    this.maxWait = maxWait;
    this.onAvailable = onAvailable;
    this.onTable = onTable;
    this.onChanges = onChanges;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
  }

  /** Starts to read the area. */
  public void start() {
    readNext();
  }

  /** Stops the feed; rows of the request in flight are discarded. */
  public void stop() {
    stopped = true;
  }

  private void readNext() {
    if (stopped) {
      return;
    }
    if (version.equals(StoreVersion.NONE)) {
      store
          .read(area)
          .subscribe()
          .with(rows -> onResponse(rows, tableReceiver(rows)), this::onFailure);
      return;
    }
    Duration changesWait = maxWait.get();
    if (changesWait == null) {
      vertx.setTimer(READER_CHECK_INTERVAL_MS, id -> readNext());
    } else {
      store
          .awaitChanges(area, version, changesWait)
          .subscribe()
          .with(rows -> onResponse(rows, onChanges), this::onFailure);
    }
  }

  // A table with a malformed row does not tell which rows are absent.
  private Consumer<StoreRows> tableReceiver(StoreRows rows) {
    return rows.malformed() == 0 ? onTable : onChanges;
  }

  private void onResponse(StoreRows rows, Consumer<StoreRows> receiver) {
    metrics.countStoreCall("ok");
    metrics.setMalformedEras(store.malformedEras());
    metrics.countMalformedRows(area, rows.malformed());
    if (unavailable) {
      unavailable = false;
      log.event("store_regained", "area", area);
      onAvailable.accept(true);
    }
    backoffMs = MIN_BACKOFF_MS;
    version = StoreVersion.max(version, rows.version());
    if (!stopped) {
      receiver.accept(rows);
      readNext();
    }
  }

  private void onFailure(Throwable error) {
    metrics.countStoreCall("failed");
    if (error instanceof StoreException failure && failure.code() == StoreErrorCode.HISTORY_GONE) {
      log.event("store_history_gone", "area", area, "after", version.version());
      version = StoreVersion.NONE;
    } else if (!unavailable) {
      unavailable = true;
      log.event(
          "store_lost", "area", area, "after", version.version(), "error", error.getMessage());
      onAvailable.accept(false);
    }
    long delayMs = Math.max(1, (long) (backoffMs * (0.5 + random.getAsDouble())));
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    vertx.setTimer(delayMs, id -> readNext());
  }
}
