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
 * Client that acquires, renews and releases one lease for one possible holder.
 *
 * <p>No clocks are compared between hosts: the lease of another holder counts as expired once its
 * row has kept one revision for the duration of the lease on the local monotonic clock, and the
 * duration of a lease acquired here starts before its write is sent. Calls on one client must not
 * overlap.
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
   * @param holder identifier of the holder; unique for each process and each of its starts
   * @param duration time that the lease is valid without renewal
   */
  public LeaseClient(
      PlatformClient platform, TimeSource time, String key, String holder, Duration duration) {
    this.platform = platform;
    this.time = time;
    this.key = key;
    this.holder = holder;
    this.duration = duration;
  }

  /** Returns the lease if it is certain that no other holder has acquired it. */
  public Optional<Lease> held() {
    Lease current = lease;
    return current != null && time.nanoTime() - current.validUntilNanos() < 0
        ? Optional.of(current)
        : Optional.empty();
  }

  /** Acquires the lease if it is free or expired; fails if the platform cannot be read. */
  public Uni<Optional<Lease>> acquire() {
    return platform.readRow(key).chain(this::acquireIfFree);
  }

  private Uni<Optional<Lease>> acquireIfFree(Optional<Row> row) {
    if (row.isEmpty()) {
      return write(0, 1);
    }
    LeaseRow current = LeaseRow.decode(row.get().value());
    long revision = row.get().revision();
    boolean free = current.holder().isEmpty() || current.holder().equals(holder);
    if (free || isExpired(revision, current.durationMs())) {
      return write(revision, current.epoch() + 1);
    }
    return Uni.createFrom().item(Optional.empty());
  }

  private boolean isExpired(long revision, long durationMs) {
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
              Lease acquired =
                  new Lease(key, epoch, written.revision(), sentAtNanos + duration.toNanos());
              lease = acquired;
              return Optional.of(acquired);
            });
  }

  private byte[] encode(String newHolder, long epoch) {
    return new LeaseRow(newHolder, epoch, duration.toMillis(), writes.incrementAndGet()).encode();
  }

  /**
   * Renews the lease; empty if another holder has acquired it or this client has no lease.
   *
   * <p>If the outcome is not known, the lease is kept unchanged and expires at its former time.
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
              lease = row.map(r -> updateRevision(current, r)).orElse(null);
              return held();
            })
        .onFailure(PlatformException.class)
        .recoverWithItem(this::held);
  }

  /** Updates the revision after a renewal whose response was lost; null if the lease was lost. */
  private @Nullable Lease updateRevision(Lease current, Row row) {
    LeaseRow value = LeaseRow.decode(row.value());
    boolean sameLease = value.holder().equals(holder) && value.epoch() == current.epoch();
    return sameLease
        ? new Lease(key, current.epoch(), row.revision(), current.validUntilNanos())
        : null;
  }

  /** Releases the lease, so that another holder need not wait until it expires. */
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
