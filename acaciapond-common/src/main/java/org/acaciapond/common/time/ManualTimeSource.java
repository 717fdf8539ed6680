package org.acaciapond.common.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/** Time source that advances only by {@link #advance}, for simulations and tests. */
public final class ManualTimeSource implements TimeSource {

  private final Instant startTime;
  private final AtomicLong elapsedNanos = new AtomicLong();

  /**
   * Creates a time source.
   *
   * @param startTime wall-clock time at the start
   */
  public ManualTimeSource(Instant startTime) {
    this.startTime = startTime;
  }

  /** Advances the wall-clock and the monotonic time. */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step is negative: " + step);
    }
    elapsedNanos.addAndGet(step.toNanos());
  }

  @Override
  public Instant now() {
    return startTime.plusNanos(elapsedNanos.get());
  }

  @Override
  public long nanoTime() {
    return elapsedNanos.get();
  }
}
