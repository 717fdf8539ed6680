package org.acaciapond.node.rollout;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.GossipStore;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.TableKeys;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Synchronization of rollout rows and taken-back versions between the table and gossip by the
 * poller of each failure domain.
 *
 * <p>A take-back by an operator increments the revision of the row {@link
 * TableKeys#TAKEN_BACK_INDEX}. The poller lists all taken-back versions only when it changes, so
 * that an unchanged table costs one small read each second.
 */
final class TableSync {

  private static final Logger LOG = LogManager.getLogger(TableSync.class);

  /** Time within which take-backs that could not be recorded in an outage are recorded later. */
  private static final Duration FULL_SYNC_INTERVAL = Duration.ofSeconds(30);

  private final PlatformClient platform;
  private final GossipStore gossip;
  private final TimeSource time;
  private final BooleanSupplier poller;
  private final Consumer<Runnable> loop;
  private boolean requestPending;
  private boolean wasPoller;
  private long indexRevision;
  private long nextFullSyncNanos;

  /**
   * Creates a synchronization.
   *
   * @param platform table service
   * @param gossip distributes grants and taken-back versions
   * @param time clock
   * @param poller returns whether this node is the poller of its failure domain
   * @param loop runs tasks on the event loop of the synchronization
   */
  TableSync(
      PlatformClient platform,
      GossipStore gossip,
      TimeSource time,
      BooleanSupplier poller,
      Consumer<Runnable> loop) {
    this.platform = platform;
    this.gossip = gossip;
    this.time = time;
    this.poller = poller;
    this.loop = loop;
  }

  /** Synchronizes changes; called each second on the event loop. */
  void tick() {
    if (!poller.getAsBoolean()) {
      wasPoller = false;
      return;
    }
    if (requestPending) {
      return;
    }
    requestPending = true;
    if (!wasPoller || time.nanoTime() - nextFullSyncNanos >= 0) {
      wasPoller = true;
      nextFullSyncNanos = time.nanoTime() + FULL_SYNC_INTERVAL.toNanos();
      syncRows();
    } else {
      checkIndex();
    }
  }

  private void checkIndex() {
    platform
        .readRow(TableKeys.TAKEN_BACK_INDEX)
        .subscribe()
        .with(row -> loop.accept(() -> onIndex(row.map(Row::revision).orElse(0L))), this::onError);
  }

  private void onIndex(long revision) {
    if (revision == indexRevision) {
      requestPending = false;
      return;
    }
    indexRevision = revision;
    syncTakenBack();
  }

  private void syncRows() {
    platform
        .listRows(RolloutGossip.ROW_PREFIX)
        .subscribe()
        .with(rows -> loop.accept(() -> onRows(rows)), this::onError);
  }

  private void onRows(List<Row> rows) {
    for (Row row : rows) {
      RolloutGossip.decodeRow(row)
          .ifPresent(recorded -> gossip.publish(RolloutGossip.grantEntry(recorded)));
    }
    syncTakenBack();
  }

  private void syncTakenBack() {
    platform
        .listRows(RolloutGossip.TAKEN_BACK_PREFIX)
        .subscribe()
        .with(
            rows ->
                loop.accept(
                    () -> {
                      requestPending = false;
                      exchangeTakenBack(rows);
                    }),
            this::onError);
  }

  private void exchangeTakenBack(List<Row> rows) {
    Set<String> recorded = new HashSet<>();
    for (Row row : rows) {
      recorded.add(row.key());
      if (RolloutGossip.decodeTakenBackKey(row.key()).isPresent()) {
        gossip.publish(RolloutGossip.takenBackEntry(row.key(), row.value()));
      }
    }
    for (GossipEntry entry : gossip.list(RolloutGossip.TAKEN_BACK_PREFIX)) {
      if (!recorded.contains(entry.key())) {
        record(entry);
      }
    }
  }

  private void record(GossipEntry entry) {
    platform
        .writeRow(entry.key(), 0, entry.value())
        .subscribe()
        .with(
            result -> LOG.info("Recorded {} in the table: {}", entry.key(), result.outcome()),
            error -> LOG.debug("Cannot record {} in the table", entry.key(), error));
  }

  private void onError(Throwable error) {
    loop.accept(
        () -> {
          requestPending = false;
          wasPoller = false;
        });
    LOG.debug("Cannot read rollouts from the table", error);
  }
}
