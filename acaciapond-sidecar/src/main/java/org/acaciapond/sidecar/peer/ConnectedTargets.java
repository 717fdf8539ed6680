package org.acaciapond.sidecar.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.peer.NodeRow;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetDeparture;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.jspecify.annotations.Nullable;

/**
 * Targets that this node is connected to, and the last known status of targets that announced their
 * shutdown, to it or according to the store. The index by service is replaced as a whole, so
 * readers need no lock.
 */
final class ConnectedTargets {

  private final TimeSource time;
  private final Predicate<String> evacuated;
  private final Map<String, Candidate> candidates = new LinkedHashMap<>();
  private final Map<String, TargetStatus> stoppedTargets = new HashMap<>();
  private volatile Map<String, List<Candidate>> byService = Map.of();

  /**
   * Creates an empty set.
   *
   * @param evacuated whether a failure domain is evacuated
   */
  ConnectedTargets(TimeSource time, Predicate<String> evacuated) {
    this.time = time;
    this.evacuated = evacuated;
  }

  List<Candidate> forService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Applies the status and load of a node's target; returns whether the status is new. */
  boolean applyStatus(String node, String domain, TargetStatus status, TargetLoad load) {
    updateStopped(node, status);
    Candidate candidate = candidates.get(node);
    final boolean changed = candidate == null || candidate.status().number() != status.number();
    if (candidate == null) {
      candidate = new Candidate(node, domain, status);
      candidate.setEvacuated(evacuated.test(domain));
      candidates.put(node, candidate);
      rebuildIndex();
    } else {
      boolean serviceChanged = !candidate.status().service().equals(status.service());
      candidate.updateStatus(status);
      if (serviceChanged) {
        rebuildIndex();
      }
    }
    candidate.updateLoad(load, time.nanoTime());
    candidate.setColdUntil(time.nanoTime() + status.coldMs() * 1_000_000L);
    return changed;
  }

  /** Avoids the target of a node until a time, as long as other targets accept calls. */
  void avoid(String node, long untilNanos) {
    Candidate candidate = candidates.get(node);
    if (candidate != null) {
      candidate.avoidUntil(untilNanos);
    }
  }

  /** Applies changed evacuation orders to all targets. */
  void updateEvacuated() {
    candidates.values().forEach(each -> each.setEvacuated(evacuated.test(each.domain())));
  }

  /** Removes the target of a node that is no longer connected. */
  void remove(String node) {
    if (candidates.remove(node) != null) {
      rebuildIndex();
    }
  }

  /** Returns the last known status of a node's target that announced its shutdown, or null. */
  @Nullable TargetStatus stoppedTarget(String node) {
    return stoppedTargets.get(node);
  }

  /**
   * Remembers the departure in a node's row in the store; returns the status of the departed
   * target, or null if there is none that was not known.
   */
  @Nullable TargetStatus rememberDeparture(NodeRow row) {
    TargetDeparture departure = row.departures().latestStarted();
    String node = row.node().key();
    TargetStatus known = stoppedTargets.get(node);
    if (departure == null || (known != null && known.startedMs() >= departure.startedMs())) {
      return null;
    }
    TargetStatus departed =
        new TargetStatus(
            departure.id(),
            departure.startedMs(),
            row.node().service(),
            "",
            TargetPhase.DRAINING,
            0,
            0,
            false,
            0);
    stoppedTargets.put(node, departed);
    return departed;
  }

  // A node that restarts does not know that its target has announced its shutdown.
  private void updateStopped(String node, TargetStatus status) {
    TargetStatus stopped = stoppedTargets.get(node);
    if (status.phase() == TargetPhase.DRAINING || status.phase() == TargetPhase.GONE) {
      stoppedTargets.put(node, status);
    } else if (stopped != null && status.startedMs() > stopped.startedMs()) {
      stoppedTargets.remove(node);
    }
  }

  private void rebuildIndex() {
    Map<String, List<Candidate>> updated = new HashMap<>();
    for (Candidate candidate : candidates.values()) {
      updated
          .computeIfAbsent(candidate.status().service(), service -> new ArrayList<>())
          .add(candidate);
    }
    byService = updated;
  }
}
