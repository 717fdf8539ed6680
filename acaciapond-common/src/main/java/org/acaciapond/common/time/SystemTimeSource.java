package org.acaciapond.common.time;

import java.time.Clock;
import java.time.Instant;

/** Time source that reads the clocks of the operating system. */
final class SystemTimeSource implements TimeSource {

  static final SystemTimeSource INSTANCE = new SystemTimeSource();

  private final Clock clock = Clock.systemUTC();

  private SystemTimeSource() {}

  @Override
  public Instant now() {
    return clock.instant();
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }
}
