package org.acaciapond.node.rollout;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.node.rollout.RolloutGossip.RecordedRow;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.WriteResult;
import org.acaciapond.platform.client.lease.Lease;
import org.acaciapond.platform.client.lease.LeaseClient;
import org.acaciapond.rollout.state.RolloutRow;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Row and lease of the rollout of one service in the platform's table. */
final class RolloutTable {

  private static final Logger LOG = LogManager.getLogger(RolloutTable.class);
  private static final Duration LEASE_TIME = Duration.ofSeconds(5);
  private static final long MIN_ATTEMPT_DELAY_MS = 1_000;
  private static final long ATTEMPT_JITTER_MS = 2_000;

  private final PlatformClient platform;
  private final TimeSource time;
  private final RandomGenerator random;
  private final Consumer<Runnable> loop;
  private final String key;
  private final LeaseClient lease;
  private boolean leaseBusy;
  private boolean holding;
  private long nextAttemptNanos;

  /**
   * Creates an access.
   *
   * @param platform table service
   * @param time clock
   * @param random source of jitter
   * @param loop runs work on the event loop that the rollout is confined to
   * @param service service that is moved
   * @param holder identity of this process as a holder of the lease
   */
  RolloutTable(
      PlatformClient platform,
      TimeSource time,
      RandomGenerator random,
      Consumer<Runnable> loop,
      String service,
      String holder) {
    this.platform = platform;
    this.time = time;
    this.random = random;
    this.loop = loop;
    this.key = RolloutGossip.rowKey(service);
    this.lease = new LeaseClient(platform, time, "lease/" + key, holder, LEASE_TIME);
    this.nextAttemptNanos = time.nanoTime();
  }

  void run(Runnable work) {
    loop.accept(work);
  }

  /** Returns the epoch of the lease while it is certainly held. */
  Optional<Long> leaseEpoch() {
    return lease.held().map(Lease::epoch);
  }

  /** Takes, renews or gives up the lease; called each second. */
  void keepLease(boolean wanted) {
    if (leaseBusy) {
      return;
    }
    if (!wanted) {
      releaseIfHeld();
      return;
    }
    holding = true;
    if (lease.held().isPresent()) {
      call(lease.renew());
    } else if (time.nanoTime() - nextAttemptNanos >= 0) {
      long delayMs = MIN_ATTEMPT_DELAY_MS + random.nextLong(ATTEMPT_JITTER_MS);
      nextAttemptNanos = time.nanoTime() + Duration.ofMillis(delayMs).toNanos();
      call(lease.acquire());
    }
  }

  private void releaseIfHeld() {
    if (holding) {
      holding = false;
      call(lease.release());
    }
  }

  private void call(Uni<?> leaseCall) {
    leaseBusy = true;
    leaseCall
        .subscribe()
        .with(
            ignored -> run(() -> leaseBusy = false),
            error ->
                run(
                    () -> {
                      leaseBusy = false;
                      LOG.debug("Lease of {} could not be taken or renewed", key, error);
                    }));
  }

  /** Reads the row; fails when the platform cannot be reached. */
  Uni<Optional<RecordedRow>> readRow() {
    return platform.readRow(key).map(row -> row.flatMap(RolloutGossip::decodeRow));
  }

  /** Reads a taken-back fact; fails when the platform cannot be reached. */
  Uni<Optional<Row>> readFact(String factKey) {
    return platform.readRow(factKey);
  }

  /** Writes the row at a revision; empty when it is not known to have been applied. */
  Uni<Optional<Long>> writeRow(RolloutRow row, long expectedRevision) {
    return platform
        .writeRow(key, expectedRevision, RolloutGossip.encode(row))
        .map(
            result ->
                result.outcome() == WriteResult.Outcome.APPLIED
                    ? Optional.of(result.revision())
                    : Optional.<Long>empty())
        .onFailure()
        .recoverWithItem(Optional.empty());
  }

  /** Records a taken-back fact; gossip has it already, and the poller records what is missing. */
  void writeFact(String factKey, byte[] value) {
    platform
        .writeRow(factKey, 0, value)
        .subscribe()
        .with(
            result -> LOG.debug("Fact {} at the table: {}", factKey, result.outcome()),
            error -> LOG.debug("Fact {} is not at the table yet", factKey, error));
  }
}
