package org.acaciapond.rollout.evidence;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Filter that accepts each combination of reporter, incarnation and interval once. Reordered
 * summaries are accepted within {@value #WINDOW_INTERVALS} intervals; duplicates, older
 * incarnations and summaries that arrive later are refused.
 */
public final class EvidenceInbox {

  /** Intervals a summary may lag behind the newest one of its reporter. */
  public static final int WINDOW_INTERVALS = 64;

  private final int maxReporters;
  private final Map<String, SeenIntervals> reporters = new HashMap<>();
  private long refused;

  /** Intervals seen from one reporter: bit i stands for {@code newest - i}. */
  private record SeenIntervals(long incarnation, long newest, long bits) {}

  /** Creates a filter that remembers at most the given number of reporters. */
  public EvidenceInbox(int maxReporters) {
    this.maxReporters = maxReporters;
  }

  /** Returns whether this summary is new, and remembers it as seen. */
  public boolean accept(EvidenceSummary summary) {
    SeenIntervals seen = reporters.get(summary.reporter());
    SeenIntervals next = advance(seen, summary);
    boolean full = seen == null && reporters.size() >= maxReporters;
    if (next == null || full) {
      refused++;
      return false;
    }
    reporters.put(summary.reporter(), next);
    return true;
  }

  /** Returns the summaries refused so far. */
  public long refused() {
    return refused;
  }

  private static @Nullable SeenIntervals advance(
      @Nullable SeenIntervals seen, EvidenceSummary summary) {
    long interval = summary.interval();
    if (seen == null || summary.incarnation() > seen.incarnation) {
      return new SeenIntervals(summary.incarnation(), interval, 1);
    }
    if (summary.incarnation() < seen.incarnation) {
      return null;
    }
    if (interval > seen.newest) {
      long shift = interval - seen.newest;
      long bits = shift >= WINDOW_INTERVALS ? 0 : seen.bits << shift;
      return new SeenIntervals(seen.incarnation, interval, bits | 1);
    }
    long age = seen.newest - interval;
    if (age >= WINDOW_INTERVALS || (seen.bits >>> age & 1) != 0) {
      return null;
    }
    return new SeenIntervals(seen.incarnation, seen.newest, seen.bits | 1L << age);
  }
}
