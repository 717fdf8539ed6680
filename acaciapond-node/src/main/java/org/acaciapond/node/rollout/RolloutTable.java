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

/** Access to the row and the lease of the rollout of one service in the platform's table. */
final class RolloutTable {

  private static final Logger LOG = LogManager.getLogger(RolloutTable.class);
  private static final Duration LEASE_DURATION = Duration.ofSeconds(5);
  private static final long MIN_ATTEMPT_DELAY_MS = 1_000;
  private static final long ATTEMPT_JITTER_MS = 2_000;

  private final PlatformClient platform;
  private final TimeSource time;
  private final RandomGenerator random;
  private final Consumer<Runnable> loop;
  private final String key;
  private final LeaseClient lease;
  private boolean leaseCallPending;
  private boolean leaseWanted;
  private long nextAttemptNanos;

  /**
   * Creates the access for one service.
   *
   * @param platform table service
   * @param time clock
   * @param random source of jitter
   * @param loop runs tasks on the event loop of the rollout
   * @param service name of the service
   * @param holder identity of this process as lease holder
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
    this.lease = new LeaseClient(platform, time, "lease/" + key, holder, LEASE_DURATION);
    this.nextAttemptNanos = time.nanoTime();
  }

  void run(Runnable work) {
    loop.accept(work);
  }

  /** Returns the epoch of the lease, or empty unless the lease is certainly held. */
  Optional<Long> leaseEpoch() {
    return lease.held().map(Lease::epoch);
  }

  /** Acquires, renews or releases the lease; called each second. */
  void updateLease(boolean wanted) {
    if (leaseCallPending) {
      return;
    }
    if (!wanted) {
      releaseIfHeld();
      return;
    }
    leaseWanted = true;
    if (lease.held().isPresent()) {
      subscribeToLease(lease.renew());
    } else if (time.nanoTime() - nextAttemptNanos >= 0) {
      long delayMs = MIN_ATTEMPT_DELAY_MS + random.nextLong(ATTEMPT_JITTER_MS);
      nextAttemptNanos = time.nanoTime() + Duration.ofMillis(delayMs).toNanos();
      subscribeToLease(lease.acquire());
    }
  }

  private void releaseIfHeld() {
    if (leaseWanted) {
      leaseWanted = false;
      subscribeToLease(lease.release());
    }
  }

  private void subscribeToLease(Uni<?> leaseCall) {
    leaseCallPending = true;
    leaseCall
        .subscribe()
        .with(
            ignored -> run(() -> leaseCallPending = false),
            error ->
                run(
                    () -> {
                      leaseCallPending = false;
                      LOG.debug("Cannot acquire, renew or release the lease of {}", key, error);
                    }));
  }

  /** Reads the row; fails if the platform cannot be reached. */
  Uni<Optional<RecordedRow>> readRow() {
    return platform.readRow(key).map(row -> row.flatMap(RolloutGossip::decodeRow));
  }

  /** Reads a taken-back entry; fails if the platform cannot be reached. */
  Uni<Optional<Row>> readTakenBack(String takenBackKey) {
    return platform.readRow(takenBackKey);
  }

  /** Writes the row at a revision; returns empty if the write is not known to be applied. */
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

  /** Records a taken-back entry that is already in gossip; if this fails, the poller records it. */
  void writeTakenBack(String takenBackKey, byte[] value) {
    platform
        .writeRow(takenBackKey, 0, value)
        .subscribe()
        .with(
            result -> LOG.debug("Recording {} in the table: {}", takenBackKey, result.outcome()),
            error ->
                LOG.debug("Cannot record {} in the table; the poller will", takenBackKey, error));
  }
}
