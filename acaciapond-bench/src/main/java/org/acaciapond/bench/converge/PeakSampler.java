package org.acaciapond.bench.converge;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.acaciapond.platform.PlatformStats;

/** Sampler of the peak request and traffic rates, measured over intervals of one second. */
final class PeakSampler implements AutoCloseable {

  private static final long INTERVAL_MS = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Peak rates per second.
   *
   * @param reads reads that the platform admitted
   * @param writes writes that the platform admitted
   * @param refused requests that the platform refused, in addition to the reads and writes
   * @param nodeBytes control bytes of the node with the most traffic
   */
  record Peaks(double reads, double writes, double refused, double nodeBytes) {

    private static final Peaks NONE = new Peaks(0, 0, 0, 0);

    private Peaks max(Peaks other) {
      return new Peaks(
          Math.max(reads, other.reads),
          Math.max(writes, other.writes),
          Math.max(refused, other.refused),
          Math.max(nodeBytes, other.nodeBytes));
    }
  }

  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private final PlatformStats stats;
  private final List<Host> hosts;
  private final long[] lastBytes;
  private long lastReads;
  private long lastWrites;
  private long lastRefused;
  private long lastNanos;
  private Peaks peaks = Peaks.NONE;

  PeakSampler(PlatformStats stats, List<Host> hosts) {
    this.stats = stats;
    this.hosts = hosts;
    this.lastBytes = new long[hosts.size()];
    sample();
    peaks = Peaks.NONE;
    executor.scheduleAtFixedRate(this::sample, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private synchronized void sample() {
    long nowNanos = System.nanoTime();
    double seconds = (nowNanos - lastNanos) / NANOS_PER_SECOND;
    final Peaks current =
        new Peaks(
            (stats.reads() - lastReads) / seconds,
            (stats.writes() - lastWrites) / seconds,
            (stats.refused() - lastRefused) / seconds,
            maxNodeBytes() / seconds);
    lastNanos = nowNanos;
    lastReads = stats.reads();
    lastWrites = stats.writes();
    lastRefused = stats.refused();
    peaks = peaks.max(current);
  }

  private long maxNodeBytes() {
    long maxBytes = 0;
    for (int i = 0; i < lastBytes.length; i++) {
      long currentBytes = hosts.get(i).controlBytes();
      // The counters of a replaced node restart at 0.
      maxBytes =
          Math.max(
              maxBytes, currentBytes < lastBytes[i] ? currentBytes : currentBytes - lastBytes[i]);
      lastBytes[i] = currentBytes;
    }
    return maxBytes;
  }

  synchronized Peaks peaks() {
    return peaks;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
