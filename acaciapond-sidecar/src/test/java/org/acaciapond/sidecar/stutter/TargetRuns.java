package org.acaciapond.sidecar.stutter;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** What all targets of a mesh have run and answered. */
final class TargetRuns {

  private final Map<String, Integer> startedById = new ConcurrentHashMap<>();
  private final Map<String, List<TargetRun>> runsById = new ConcurrentHashMap<>();
  private final Map<String, TargetRun> runsBySignature = new ConcurrentHashMap<>();
  private final Map<ResponseFault, AtomicInteger> faults = new ConcurrentHashMap<>();
  private final Map<String, Queue<String>> requestsByConnection = new ConcurrentHashMap<>();

  void recordArrived(String connection, String id) {
    requestsByConnection.computeIfAbsent(connection, key -> new ConcurrentLinkedQueue<>()).add(id);
  }

  void recordStarted(String id) {
    startedById.merge(id, 1, Integer::sum);
  }

  void recordAnswered(TargetRun run) {
    runsBySignature.put(run.signature, run);
    runsById.computeIfAbsent(run.id, key -> new CopyOnWriteArrayList<>()).add(run);
    if (run.fault != null) {
      faults.computeIfAbsent(run.fault, key -> new AtomicInteger()).incrementAndGet();
    }
  }

  /** Returns how often a request was started. */
  int started(String id) {
    return startedById.getOrDefault(id, 0);
  }

  int startedMoreThanOnce() {
    return (int) startedById.values().stream().filter(count -> count > 1).count();
  }

  @Nullable TargetRun bySignature(String signature) {
    return runsBySignature.get(signature);
  }

  /** Describes the runs of a request and the requests before and after it on its connections. */
  String describe(String id) {
    StringBuilder text = new StringBuilder();
    for (TargetRun run : runsById.getOrDefault(id, List.of())) {
      text.append("\n    run ").append(run);
    }
    requestsByConnection.forEach(
        (connection, ids) -> {
          List<String> all = List.copyOf(ids);
          for (int i = 0; i < all.size(); i++) {
            if (all.get(i).equals(id)) {
              text.append("\n    on ").append(connection);
              appendNeighbour(text, "previous", i > 0 ? all.get(i - 1) : null);
              appendNeighbour(text, "next", i + 1 < all.size() ? all.get(i + 1) : null);
            }
          }
        });
    return text.toString();
  }

  private void appendNeighbour(StringBuilder text, String which, @Nullable String id) {
    text.append("\n      ").append(which).append(" request ").append(id);
    if (id != null) {
      text.append(' ').append(runsById.getOrDefault(id, List.of()));
    }
  }

  @Override
  public String toString() {
    return "runs " + runsBySignature.size() + ", faults " + faults;
  }
}
