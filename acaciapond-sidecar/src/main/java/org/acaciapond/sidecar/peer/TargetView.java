package org.acaciapond.sidecar.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.jspecify.annotations.Nullable;

/**
 * Targets that this node is connected to, and what it remembers of those that announced their
 * leaving. The index by service is replaced whole, so readers need no lock.
 */
final class TargetView {

  private final TimeSource time;
  private final Map<String, Candidate> candidates = new LinkedHashMap<>();
  private final Map<String, TargetStatus> leavers = new HashMap<>();
  private volatile Map<String, List<Candidate>> byService = Map.of();

  TargetView(TimeSource time) {
    this.time = time;
  }

  List<Candidate> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Applies the status of the target beside a node; returns whether it tells something new. */
  boolean apply(String node, String domain, TargetStatus status, TargetLoad load) {
    remember(node, status);
    Candidate held = candidates.get(node);
    final boolean changed = held == null || held.status().number() != status.number();
    if (held == null) {
      held = new Candidate(node, domain, status);
      candidates.put(node, held);
      index();
    } else {
      boolean otherService = !held.status().service().equals(status.service());
      held.updateStatus(status);
      if (otherService) {
        index();
      }
    }
    held.updateLoad(load, time.nanoTime());
    held.setColdUntil(time.nanoTime() + status.coldMs() * 1_000_000L);
    return changed;
  }

  /** Keeps the target of a node out of the choice while others are open. */
  void avoid(String node, long untilNanos) {
    Candidate held = candidates.get(node);
    if (held != null) {
      held.avoidUntil(untilNanos);
    }
  }

  /** Forgets the target of a node that is no longer connected. */
  void remove(String node) {
    if (candidates.remove(node) != null) {
      index();
    }
  }

  /** Returns what is remembered of a leaving target beside a node, or null. */
  @Nullable TargetStatus leaver(String node) {
    return leavers.get(node);
  }

  // A node that starts again beside a target that announced its leaving knows nothing of it.
  private void remember(String node, TargetStatus status) {
    TargetStatus leaver = leavers.get(node);
    if (status.phase() == TargetPhase.DRAINING || status.phase() == TargetPhase.GONE) {
      leavers.put(node, status);
    } else if (leaver != null && status.startedMs() > leaver.startedMs()) {
      leavers.remove(node);
    }
  }

  private void index() {
    Map<String, List<Candidate>> next = new HashMap<>();
    for (Candidate candidate : candidates.values()) {
      next.computeIfAbsent(candidate.status().service(), service -> new ArrayList<>())
          .add(candidate);
    }
    byService = next;
  }
}
