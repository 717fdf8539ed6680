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
 * Exchange of rollout rows and taken-back facts between table and gossip, by the poller of each
 * failure domain.
 *
 * <p>An operator's take-back bumps the row {@link TableKeys#TAKEN_BACK_INDEX}; only a change of its
 * revision makes the poller list all facts, so that a quiet table costs one small read each second.
 */
final class TableSync {

  private static final Logger LOG = LogManager.getLogger(TableSync.class);

  /** Facts that judges could not record during an outage are recorded within this time. */
  private static final Duration FULL_INTERVAL = Duration.ofSeconds(30);

  private final PlatformClient platform;
  private final GossipStore gossip;
  private final TimeSource time;
  private final BooleanSupplier poller;
  private final Consumer<Runnable> loop;
  private boolean busy;
  private boolean wasPoller;
  private long indexRevision;
  private long nextFullNanos;

  /**
   * Creates an exchange.
   *
   * @param platform table service
   * @param gossip carries grants and facts
   * @param time clock
   * @param poller returns whether this node is the poller of its failure domain
   * @param loop runs work on the event loop that the exchange is confined to
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

  /** Looks for changes; called each second on the event loop. */
  void tick() {
    if (!poller.getAsBoolean()) {
      wasPoller = false;
      return;
    }
    if (busy) {
      return;
    }
    busy = true;
    if (!wasPoller || time.nanoTime() - nextFullNanos >= 0) {
      wasPoller = true;
      nextFullNanos = time.nanoTime() + FULL_INTERVAL.toNanos();
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
      busy = false;
      return;
    }
    indexRevision = revision;
    syncFacts();
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
    syncFacts();
  }

  private void syncFacts() {
    platform
        .listRows(RolloutGossip.TAKEN_BACK_PREFIX)
        .subscribe()
        .with(
            rows ->
                loop.accept(
                    () -> {
                      busy = false;
                      exchangeFacts(rows);
                    }),
            this::onError);
  }

  private void exchangeFacts(List<Row> rows) {
    Set<String> recorded = new HashSet<>();
    for (Row row : rows) {
      recorded.add(row.key());
      if (RolloutGossip.decodeFactKey(row.key()).isPresent()) {
        gossip.publish(RolloutGossip.factEntry(row.key(), row.value()));
      }
    }
    for (GossipEntry fact : gossip.list(RolloutGossip.TAKEN_BACK_PREFIX)) {
      if (!recorded.contains(fact.key())) {
        record(fact);
      }
    }
  }

  private void record(GossipEntry fact) {
    platform
        .writeRow(fact.key(), 0, fact.value())
        .subscribe()
        .with(
            result -> LOG.info("Recorded {} at the table: {}", fact.key(), result.outcome()),
            error -> LOG.debug("Cannot record {}", fact.key(), error));
  }

  private void onError(Throwable error) {
    loop.accept(
        () -> {
          busy = false;
          wasPoller = false;
        });
    LOG.debug("Cannot read rollouts from the table", error);
  }
}
