package org.acaciapond.sidecar.target;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The last run of each of the call ids that were sent to the target most recently. */
final class RecentRuns {

  private final int capacity;
  private final Map<String, CallRun> runs;

  RecentRuns(int capacity) {
    this.capacity = capacity;
    this.runs =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, CallRun> eldest) {
            return size() > RecentRuns.this.capacity;
          }
        };
  }

  /** Records a run and returns the one before it with the same call id, or null. */
  @Nullable CallRun put(String callId, CallRun run) {
    // An entry that is replaced in place would keep its age.
    CallRun previous = runs.remove(callId);
    runs.put(callId, run);
    return previous;
  }

  boolean contains(String callId) {
    return runs.containsKey(callId);
  }

  /** Forgets the runs of an earlier lifetime of the target. */
  void clear() {
    runs.clear();
  }
}
