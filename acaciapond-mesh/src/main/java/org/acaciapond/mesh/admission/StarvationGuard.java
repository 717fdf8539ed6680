package org.acaciapond.mesh.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Finds the groups of calls, such as those of one route or one client account, that get a slot much
 * less often than all calls of a target. Strict priority alone would run none of the least urgent
 * ones while more urgent ones fill the target.
 */
final class StarvationGuard {

  private static final double MIN_RELATIVE_STARTED_SHARE = 0.4;
  private static final double MIN_OFFERED = 3;
  // A group with fewer calls than this in the last seconds is forgotten.
  private static final double FORGOTTEN_OFFERED = 0.1;
  private static final long HALVING_NANOS = 2_000_000_000L;
  private static final int MAX_GROUPS = 4_096;

  private final Map<String, Calls> groups = new HashMap<>();
  private final Calls all = new Calls();
  private long halvedNanos;

  /** Calls of a group in the last seconds, with decreasing weight. */
  private static final class Calls {
    double offered;
    double started;

    void halve() {
      offered /= 2;
      started /= 2;
    }
  }

  /** Returns whether the calls of a group get a slot much less often than all. */
  boolean isStarved(String group) {
    Calls calls = groups.get(group);
    return calls != null
        && calls.offered >= MIN_OFFERED
        && calls.started * all.offered < MIN_RELATIVE_STARTED_SHARE * all.started * calls.offered;
  }

  /** Records a call of a group that arrived. */
  void recordOffered(String group, long nowNanos) {
    halve(nowNanos);
    if (groups.size() < MAX_GROUPS || groups.containsKey(group)) {
      groups.computeIfAbsent(group, key -> new Calls()).offered++;
      all.offered++;
    }
  }

  /** Records a call of a group that was given a slot. */
  void recordStarted(String group) {
    Calls calls = groups.get(group);
    if (calls != null) {
      calls.started++;
      all.started++;
    }
  }

  private void halve(long nowNanos) {
    if (nowNanos - halvedNanos < HALVING_NANOS) {
      return;
    }
    halvedNanos = nowNanos;
    all.halve();
    Iterator<Calls> each = groups.values().iterator();
    while (each.hasNext()) {
      Calls calls = each.next();
      calls.halve();
      if (calls.offered < FORGOTTEN_OFFERED) {
        each.remove();
      }
    }
  }
}
