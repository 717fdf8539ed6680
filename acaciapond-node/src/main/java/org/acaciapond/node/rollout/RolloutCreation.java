package org.acaciapond.node.rollout;

import java.util.Optional;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.platform.client.Row;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.TakenBackVersion;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Recording of the first row of a move by the holder of the lease, one attempt at a time. */
final class RolloutCreation {

  private static final Logger LOG = LogManager.getLogger(RolloutCreation.class);

  private final RolloutContext context;
  private final RolloutStarter starter;
  private boolean busy;

  RolloutCreation(RolloutContext context, RolloutStarter starter) {
    this.context = context;
    this.starter = starter;
  }

  /** Starts the move in the text unless the table says otherwise. */
  void open(ServiceConfig config) {
    RolloutConfig move = config.rollout();
    if (busy || move == null) {
      return;
    }
    busy = true;
    // A node that started with an empty memory may not have heard of the fact yet.
    String factKey =
        RolloutGossip.factKey(new TakenBackVersion(context.service(), move.toVersion()));
    context
        .table()
        .readFact(factKey)
        .chain(fact -> context.table().readRow().map(row -> new Present(fact, row)))
        .subscribe()
        .with(
            present -> context.table().run(() -> onPresent(config, move, present)),
            error -> context.table().run(() -> busy = false));
  }

  /** What the table holds about a move. */
  private record Present(Optional<Row> fact, Optional<RecordedRow> row) {}

  private void onPresent(ServiceConfig config, RolloutConfig move, Present present) {
    busy = false;
    present
        .fact()
        .ifPresent(
            fact -> context.gossip().publish(RolloutGossip.factEntry(fact.key(), fact.value())));
    Optional<Long> epoch = context.table().leaseEpoch();
    if (epoch.isEmpty()) {
      return;
    }
    RolloutStarter.Counts counts =
        new RolloutStarter.Counts(
            context.countTargets(config.currentVersion()), context.countTargets(move.toVersion()));
    Optional<RolloutRow> first =
        starter.firstRow(
            config,
            present.row().map(RecordedRow::row),
            present.fact().isPresent() || context.isTakenBack(move.toVersion()),
            counts,
            epoch.get(),
            context.time().now());
    if (first.isPresent()) {
      write(first.get(), present.row().map(RecordedRow::revision).orElse(0L));
    } else {
      // The row in the table is newer than the one that gossip has brought so far.
      present.row().ifPresent(context::announce);
    }
  }

  private void write(RolloutRow row, long revision) {
    busy = true;
    context
        .table()
        .writeRow(row, revision)
        .subscribe()
        .with(applied -> context.table().run(() -> onWritten(row, applied)));
  }

  private void onWritten(RolloutRow row, Optional<Long> revision) {
    busy = false;
    if (revision.isPresent()) {
      LOG.info("Rollout of {} to {}: {} ({})", row.service(), row.to(), row.state(), row.reason());
      context.announce(new RecordedRow(row, revision.get()));
    }
  }
}
