package org.acaciapond.bench.converge;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.acaciapond.platform.PlatformStats;

/** Highest rates over intervals of one second. */
final class PeakSampler implements AutoCloseable {

  private static final long INTERVAL_MS = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Peaks so far; refused requests come on top of the reads and writes that were admitted. */
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

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final PlatformStats stats;
  private final List<Host> hosts;
  private final long[] bytes;
  private long reads;
  private long writes;
  private long refused;
  private long lastNanos;
  private Peaks peaks = Peaks.NONE;

  PeakSampler(PlatformStats stats, List<Host> hosts) {
    this.stats = stats;
    this.hosts = hosts;
    this.bytes = new long[hosts.size()];
    sample();
    peaks = Peaks.NONE;
    timer.scheduleAtFixedRate(this::sample, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private synchronized void sample() {
    long nowNanos = System.nanoTime();
    double seconds = (nowNanos - lastNanos) / NANOS_PER_SECOND;
    final Peaks last =
        new Peaks(
            (stats.reads() - reads) / seconds,
            (stats.writes() - writes) / seconds,
            (stats.refused() - refused) / seconds,
            mostBytes() / seconds);
    lastNanos = nowNanos;
    reads = stats.reads();
    writes = stats.writes();
    refused = stats.refused();
    peaks = peaks.max(last);
  }

  private long mostBytes() {
    long most = 0;
    for (int i = 0; i < bytes.length; i++) {
      long now = hosts.get(i).controlBytes();
      // The counters of a node that has been replaced start again at 0.
      most = Math.max(most, now < bytes[i] ? now : now - bytes[i]);
      bytes[i] = now;
    }
    return most;
  }

  synchronized Peaks peaks() {
    return peaks;
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
