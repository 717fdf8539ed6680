package org.acaciapond.node.proxy;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.node.membership.LocalTarget;
import org.jspecify.annotations.Nullable;

/**
 * Warm-up tracker that decides when the response times of the local target are comparable.
 *
 * <p>A target that has just started is slower for a while (compilation, caches, connections). In
 * the demo a good version was taken back for this reason, because each new target received only
 * about ten calls per second.
 */
final class TargetWarmup {

  /** Number of calls after which a target under steady load is warm. */
  private static final int WARMUP_CALLS = 300;

  /** Time after which a target with few calls is warm, so that slow versions are still detected. */
  private static final long WARMUP_NANOS = Duration.ofSeconds(15).toNanos();

  private record WarmupState(String version, int port, long firstCallNanos, AtomicInteger calls) {

    boolean belongsTo(LocalTarget.Announcement target) {
      return version.equals(target.version()) && port == target.port();
    }
  }

  private final TimeSource time;
  private volatile @Nullable WarmupState state;

  TargetWarmup(TimeSource time) {
    this.time = time;
  }

  /** Records a call and returns whether the target is warm. */
  boolean recordCall(LocalTarget.Announcement target) {
    WarmupState current = state;
    if (current == null || !current.belongsTo(target)) {
      current =
          new WarmupState(target.version(), target.port(), time.nanoTime(), new AtomicInteger());
      state = current;
    }
    if (current.calls().get() >= WARMUP_CALLS) {
      return true;
    }
    boolean enoughCalls = current.calls().incrementAndGet() >= WARMUP_CALLS;
    return enoughCalls || time.nanoTime() - current.firstCallNanos() >= WARMUP_NANOS;
  }
}
