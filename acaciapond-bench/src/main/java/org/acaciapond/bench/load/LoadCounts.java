package org.acaciapond.bench.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/** Counts of calls by the version of the target that responded. */
final class LoadCounts {

  private static final String NO_VERSION = "none";

  private final LongAdder calls = new LongAdder();
  private final LongAdder failed = new LongAdder();
  private final ConcurrentMap<String, LongAdder> byVersion = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, Long> lastCallMs = new ConcurrentHashMap<>();

  /**
   * Counts a call.
   *
   * @param version version that responded, or null if there was no response
   * @param success whether the status was 200
   * @param nowMs wall-clock time in milliseconds
   */
  void count(@Nullable String version, boolean success, long nowMs) {
    String name = version == null ? NO_VERSION : version;
    calls.increment();
    if (!success) {
      failed.increment();
    }
    byVersion.computeIfAbsent(name, v -> new LongAdder()).increment();
    lastCallMs.put(name, nowMs);
  }

  /** Returns one line with calls and failed calls, then the calls and last time of each version. */
  String toLine() {
    StringBuilder line = new StringBuilder();
    line.append("calls=").append(calls.sum()).append(" failed=").append(failed.sum());
    for (Map.Entry<String, LongAdder> entry : new TreeMap<>(byVersion).entrySet()) {
      line.append(' ').append(entry.getKey()).append('=').append(entry.getValue().sum());
      line.append(' ').append(entry.getKey()).append("_last_ms=");
      line.append(lastCallMs.getOrDefault(entry.getKey(), 0L));
    }
    return line.toString();
  }
}
