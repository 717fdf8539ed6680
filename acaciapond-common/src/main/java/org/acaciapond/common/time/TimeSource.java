package org.acaciapond.common.time;

import java.time.Instant;

/** Source of wall-clock and monotonic time. */
public interface TimeSource {

  /** Returns the wall-clock time. */
  Instant now();

  /** Returns monotonic time in nanoseconds from an arbitrary origin. */
  long nanoTime();

  /** Returns the time source of the operating system. */
  static TimeSource system() {
    return SystemTimeSource.INSTANCE;
  }
}
