package org.acaciapond.node.proxy;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.node.membership.LocalTarget;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether the own target has served enough calls for their times to be compared.
 *
 * <p>A target that has just started is slower for a while (compilation, caches, connections). In
 * the demo a good version was taken back for it, since each new target got only some ten calls a
 * second.
 */
final class TargetWarmup {

  /** With a steady load a target is warm after this many calls. */
  private static final int COLD_CALLS = 300;

  /** With a small load it counts as warm after this time, so that slow versions are still found. */
  private static final long COLD_NANOS = Duration.ofSeconds(15).toNanos();

  private record Warming(String version, int port, long firstCallNanos, AtomicInteger calls) {

    boolean isOf(LocalTarget.Announcement target) {
      return version.equals(target.version()) && port == target.port();
    }
  }

  private final TimeSource time;
  private volatile @Nullable Warming warming;

  TargetWarmup(TimeSource time) {
    this.time = time;
  }

  /** Counts a call and returns whether the target was warm when it arrived. */
  boolean countCall(LocalTarget.Announcement target) {
    Warming current = warming;
    if (current == null || !current.isOf(target)) {
      current = new Warming(target.version(), target.port(), time.nanoTime(), new AtomicInteger());
      warming = current;
    }
    if (current.calls().get() >= COLD_CALLS) {
      return true;
    }
    boolean enoughCalls = current.calls().incrementAndGet() >= COLD_CALLS;
    return enoughCalls || time.nanoTime() - current.firstCallNanos() >= COLD_NANOS;
  }
}
