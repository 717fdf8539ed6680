package org.acaciapond.platform.client.lease;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.PlatformException;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Client of one lease for one possible holder.
 *
 * <p>No clocks are compared between hosts: another holder's lease counts as expired once its row
 * has kept one revision for the lease's duration on the own monotonic clock, and the own lease is
 * counted from before its write was sent. Calls on one client must not overlap.
 */
public final class LeaseClient {

  private final PlatformClient platform;
  private final TimeSource time;
  private final String key;
  private final String holder;
  private final Duration duration;
  private volatile @Nullable Lease lease;
  private final AtomicLong writes = new AtomicLong();
  private long observedRevision;
  private long observedAtNanos;

  /**
   * Creates a client.
   *
   * @param platform table service
   * @param time clock
   * @param key key of the row
   * @param holder identity that no other process has, nor this one after a restart
   * @param duration how long the lease lasts without renewal
   */
  public LeaseClient(
      PlatformClient platform, TimeSource time, String key, String holder, Duration duration) {
    this.platform = platform;
    this.time = time;
    this.key = key;
    this.holder = holder;
    this.duration = duration;
  }

  /** Returns the lease if it is certain that no other holder has it. */
  public Optional<Lease> held() {
    Lease current = lease;
    return current != null && time.nanoTime() - current.validUntilNanos() < 0
        ? Optional.of(current)
        : Optional.empty();
  }

  /** Takes the lease if it is free or expired; fails when the platform cannot be read. */
  public Uni<Optional<Lease>> acquire() {
    return platform.readRow(key).chain(this::takeIfFree);
  }

  private Uni<Optional<Lease>> takeIfFree(Optional<Row> row) {
    if (row.isEmpty()) {
      return write(0, 1);
    }
    LeaseRow current = LeaseRow.decode(row.get().value());
    long revision = row.get().revision();
    boolean free = current.holder().isEmpty() || current.holder().equals(holder);
    if (free || expired(revision, current.durationMs())) {
      return write(revision, current.epoch() + 1);
    }
    return Uni.createFrom().item(Optional.empty());
  }

  private boolean expired(long revision, long durationMs) {
    long nowNanos = time.nanoTime();
    if (revision != observedRevision) {
      observedRevision = revision;
      observedAtNanos = nowNanos;
      return false;
    }
    return nowNanos - observedAtNanos >= Duration.ofMillis(durationMs).toNanos();
  }

  private Uni<Optional<Lease>> write(long expectedRevision, long epoch) {
    long sentAtNanos = time.nanoTime();
    byte[] value = encode(holder, epoch);
    return platform
        .writeRow(key, expectedRevision, value)
        .map(
            written -> {
              if (written.outcome() != WriteResult.Outcome.APPLIED) {
                return Optional.empty();
              }
              Lease taken =
                  new Lease(key, epoch, written.revision(), sentAtNanos + duration.toNanos());
              lease = taken;
              return Optional.of(taken);
            });
  }

  private byte[] encode(String newHolder, long epoch) {
    return new LeaseRow(newHolder, epoch, duration.toMillis(), writes.incrementAndGet()).encode();
  }

  /**
   * Extends the lease; empty when another holder has it or none was held.
   *
   * <p>When the platform cannot say, the lease stays as it was and runs out at its time.
   */
  public Uni<Optional<Lease>> renew() {
    Lease current = lease;
    if (current == null) {
      return Uni.createFrom().item(Optional.empty());
    }
    return write(current.revision(), current.epoch())
        .chain(renewed -> renewed.isPresent() ? Uni.createFrom().item(renewed) : verify(current));
  }

  /** Reads the row after a renewal that is not known to have been applied. */
  private Uni<Optional<Lease>> verify(Lease current) {
    return platform
        .readRow(key)
        .map(
            row -> {
              lease = row.map(r -> adopt(current, r)).orElse(null);
              return held();
            })
        .onFailure(PlatformException.class)
        .recoverWithItem(this::held);
  }

  /** Adopts the revision of an earlier renewal whose answer was lost; null when the lease is. */
  private @Nullable Lease adopt(Lease current, Row row) {
    LeaseRow value = LeaseRow.decode(row.value());
    boolean own = value.holder().equals(holder) && value.epoch() == current.epoch();
    return own ? new Lease(key, current.epoch(), row.revision(), current.validUntilNanos()) : null;
  }

  /** Gives the lease up, so that another holder need not wait for its expiry. */
  public Uni<Void> release() {
    Lease current = lease;
    lease = null;
    if (current == null) {
      return Uni.createFrom().voidItem();
    }
    byte[] value = encode("", current.epoch());
    return platform.writeRow(key, current.revision(), value).replaceWithVoid();
  }
}
