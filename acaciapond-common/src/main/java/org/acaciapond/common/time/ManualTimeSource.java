package org.acaciapond.common.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/** Time source that advances only when told to, for virtual-time runs. */
public final class ManualTimeSource implements TimeSource {

  private final Instant origin;
  private final AtomicLong elapsedNanos = new AtomicLong();

  /**
   * Creates a time source.
   *
   * @param origin wall-clock time at which it starts
   */
  public ManualTimeSource(Instant origin) {
    this.origin = origin;
  }

  /** Moves both clocks forward. */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step is negative: " + step);
    }
    elapsedNanos.addAndGet(step.toNanos());
  }

  @Override
  public Instant now() {
    return origin.plusNanos(elapsedNanos.get());
  }

  @Override
  public long nanoTime() {
    return elapsedNanos.get();
  }
}
