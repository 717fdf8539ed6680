package org.acaciapond.rollout.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;

/** Call counts of the current interval at the node of a caller. Thread-safe. */
public final class Evidence {

  private static final int CALLS_INDEX = LatencySketch.BUCKETS;
  private static final int ERRORS_INDEX = LatencySketch.BUCKETS + 1;

  private final int maxCells;
  private final Map<Key, AtomicIntegerArray> cells = new ConcurrentHashMap<>();
  private final AtomicLong droppedCalls = new AtomicLong();

  /** Service, version and route of a cell. */
  private record Key(String service, String version, String route) {}

  /** Creates empty counts for at most the given number of cells. */
  public Evidence(int maxCells) {
    this.maxCells = maxCells;
  }

  /**
   * Counts one call; results that are not informative are ignored. A call with a latency of NaN is
   * counted without its latency.
   */
  public void record(
      String service, String version, String route, CallResult result, double latencyUs) {
    if (!result.isInformative()) {
      return;
    }
    Key key = new Key(service, version, route);
    AtomicIntegerArray cell = cells.get(key);
    if (cell == null) {
      if (cells.size() >= maxCells) {
        droppedCalls.incrementAndGet();
        return;
      }
      cell = cells.computeIfAbsent(key, k -> new AtomicIntegerArray(LatencySketch.BUCKETS + 2));
    }
    cell.incrementAndGet(CALLS_INDEX);
    if (result == CallResult.ERROR) {
      cell.incrementAndGet(ERRORS_INDEX);
    } else if (!Double.isNaN(latencyUs)) {
      cell.incrementAndGet(LatencySketch.bucketOf(latencyUs));
    }
  }

  /** Returns the counts since the last drain and clears them; unused cells are removed. */
  public List<RouteCounts> drain() {
    List<RouteCounts> result = new ArrayList<>();
    cells.forEach(
        (key, cell) -> {
          int calls = cell.getAndSet(CALLS_INDEX, 0);
          if (calls == 0) {
            cells.remove(key, cell);
            return;
          }
          int errors = cell.getAndSet(ERRORS_INDEX, 0);
          LatencySketch latency = new LatencySketch();
          for (int i = 0; i < LatencySketch.BUCKETS; i++) {
            if (cell.get(i) != 0) {
              latency.add(i, cell.getAndSet(i, 0));
            }
          }
          result.add(new RouteCounts(key.service, key.version, key.route, calls, errors, latency));
        });
    return result;
  }

  /** Returns the calls not counted because the cell limit was reached. */
  public long droppedCalls() {
    return droppedCalls.get();
  }
}
