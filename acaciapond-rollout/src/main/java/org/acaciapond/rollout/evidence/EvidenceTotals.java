package org.acaciapond.rollout.evidence;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Total counts of one reporter since the order of a rollout. A reporter sends its totals to a new
 * analyzer, which then continues with the evidence of its predecessor, and again from time to time,
 * which replaces counts that were lost on the way.
 */
public final class EvidenceTotals {

  private final Map<Key, RouteCounts> totals = new LinkedHashMap<>();

  /** Version and route of a total. */
  private record Key(String service, String version, String route) {}

  /** Adds the counts of an interval. */
  public void add(List<RouteCounts> counts) {
    counts.forEach(each -> totals.merge(keyOf(each), each, RouteCounts::plus));
  }

  /** Returns the total counts. */
  public List<RouteCounts> counts() {
    return List.copyOf(totals.values());
  }

  /**
   * Replaces the totals by newer ones.
   *
   * @return counts that the newer totals contain in addition
   */
  public List<RouteCounts> replaceBy(List<RouteCounts> newer) {
    List<RouteCounts> added = new ArrayList<>();
    for (RouteCounts counts : newer) {
      RouteCounts previous = totals.put(keyOf(counts), counts);
      // A restarted reporter begins with new totals.
      boolean continued = previous != null && counts.includes(previous);
      RouteCounts difference = continued ? counts.minus(previous) : counts;
      if (difference.calls() > 0) {
        added.add(difference);
      }
    }
    return added;
  }

  private static Key keyOf(RouteCounts counts) {
    return new Key(counts.service(), counts.version(), counts.route());
  }
}
