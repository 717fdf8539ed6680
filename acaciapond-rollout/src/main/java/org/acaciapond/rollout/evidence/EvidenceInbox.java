package org.acaciapond.rollout.evidence;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Filter that lets each (witness, incarnation, interval) through once. Reordered summaries pass
 * within {@value #WINDOW} intervals; duplicates, older incarnations and later ones are refused.
 */
public final class EvidenceInbox {

  /** Intervals a summary may lag behind the newest one of its witness. */
  public static final int WINDOW = 64;

  private final int maxWitnesses;
  private final Map<String, Seen> witnesses = new HashMap<>();
  private long refused;

  /** Intervals seen of one witness: bit i stands for {@code newest - i}. */
  private record Seen(long incarnation, long newest, long bits) {}

  /** Creates a filter that remembers at most the given number of witnesses. */
  public EvidenceInbox(int maxWitnesses) {
    this.maxWitnesses = maxWitnesses;
  }

  /** Returns whether this summary is new and counts it as seen. */
  public boolean accept(EvidenceSummary summary) {
    Seen seen = witnesses.get(summary.witness());
    Seen next = advance(seen, summary);
    boolean full = seen == null && witnesses.size() >= maxWitnesses;
    if (next == null || full) {
      refused++;
      return false;
    }
    witnesses.put(summary.witness(), next);
    return true;
  }

  /** Returns the summaries refused so far. */
  public long refused() {
    return refused;
  }

  private static @Nullable Seen advance(@Nullable Seen seen, EvidenceSummary summary) {
    long interval = summary.interval();
    if (seen == null || summary.incarnation() > seen.incarnation) {
      return new Seen(summary.incarnation(), interval, 1);
    }
    if (summary.incarnation() < seen.incarnation) {
      return null;
    }
    if (interval > seen.newest) {
      long shift = interval - seen.newest;
      long bits = shift >= WINDOW ? 0 : seen.bits << shift;
      return new Seen(seen.incarnation, interval, bits | 1);
    }
    long age = seen.newest - interval;
    if (age >= WINDOW || (seen.bits >>> age & 1) != 0) {
      return null;
    }
    return new Seen(seen.incarnation, seen.newest, seen.bits | 1L << age);
  }
}
