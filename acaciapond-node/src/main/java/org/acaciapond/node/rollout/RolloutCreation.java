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

/** Creation of the first row of a rollout by the lease holder, one attempt at a time. */
final class RolloutCreation {

  private static final Logger LOG = LogManager.getLogger(RolloutCreation.class);

  private final RolloutContext context;
  private final RolloutStarter starter;
  private boolean requestPending;

  RolloutCreation(RolloutContext context, RolloutStarter starter) {
    this.context = context;
    this.starter = starter;
  }

  /** Starts the configured rollout unless the table has another or its version was taken back. */
  void createFirstRow(ServiceConfig config) {
    RolloutConfig rollout = config.rollout();
    if (requestPending || rollout == null) {
      return;
    }
    requestPending = true;
    // After a start, gossip may not have delivered yet that the version was taken back.
    String takenBackKey =
        RolloutGossip.takenBackKey(new TakenBackVersion(context.service(), rollout.toVersion()));
    context
        .table()
        .readTakenBack(takenBackKey)
        .chain(takenBack -> context.table().readRow().map(row -> new TableRows(takenBack, row)))
        .subscribe()
        .with(
            tableRows -> context.table().run(() -> onTableRows(config, rollout, tableRows)),
            error -> context.table().run(() -> requestPending = false));
  }

  /** Rows of the table that concern a rollout. */
  private record TableRows(Optional<Row> takenBack, Optional<RecordedRow> row) {}

  private void onTableRows(ServiceConfig config, RolloutConfig rollout, TableRows tableRows) {
    requestPending = false;
    tableRows
        .takenBack()
        .ifPresent(
            takenBack ->
                context
                    .gossip()
                    .publish(RolloutGossip.takenBackEntry(takenBack.key(), takenBack.value())));
    Optional<Long> epoch = context.table().leaseEpoch();
    if (epoch.isEmpty()) {
      return;
    }
    RolloutStarter.Counts counts =
        new RolloutStarter.Counts(
            context.countTargets(config.currentVersion()),
            context.countTargets(rollout.toVersion()));
    Optional<RolloutRow> first =
        starter.firstRow(
            config,
            tableRows.row().map(RecordedRow::row),
            tableRows.takenBack().isPresent() || context.isTakenBack(rollout.toVersion()),
            counts,
            epoch.get(),
            context.time().now());
    if (first.isPresent()) {
      write(first.get(), tableRows.row().map(RecordedRow::revision).orElse(0L));
    } else {
      // The row in the table is newer than the one that gossip has delivered so far.
      tableRows.row().ifPresent(context::announce);
    }
  }

  private void write(RolloutRow row, long revision) {
    requestPending = true;
    context
        .table()
        .writeRow(row, revision)
        .subscribe()
        .with(applied -> context.table().run(() -> onWritten(row, applied)));
  }

  private void onWritten(RolloutRow row, Optional<Long> revision) {
    requestPending = false;
    if (revision.isPresent()) {
      LOG.info("Rollout of {} to {}: {} ({})", row.service(), row.to(), row.state(), row.reason());
      context.announce(new RecordedRow(row, revision.get()));
    }
  }
}
