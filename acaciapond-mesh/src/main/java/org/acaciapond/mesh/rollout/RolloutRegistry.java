package org.acaciapond.mesh.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.acaciapond.mesh.target.Candidate;
import org.jspecify.annotations.Nullable;

/**
 * What a node knows of moves, and which versions its requests may go to. That a version was taken
 * back only ever becomes known, never unknown, so no agreement is needed to spread it.
 */
public final class RolloutRegistry {

  // A judge renews its grants several times a second; without them an unproved version gets
  // nothing more.
  private static final long GRANT_NANOS = 2_000_000_000L;

  private final Map<String, RolloutOrder> orders = new HashMap<>();
  private final Map<String, ShareGrant> grants = new HashMap<>();
  private final Map<String, Long> grantedAtNanos = new HashMap<>();
  private final Map<String, String> completed = new HashMap<>();
  private final Set<String> takenBack = new HashSet<>();

  /** Takes an order; returns whether it is newer than the one held. */
  public boolean takeOrder(RolloutOrder order) {
    RolloutOrder held = orders.get(order.service());
    if (held != null && held.number() >= order.number()) {
      return false;
    }
    orders.put(order.service(), order);
    return true;
  }

  /** Takes a grant; returns whether it tells something new. */
  public boolean takeGrant(ShareGrant grant, long nowNanos) {
    if (grant.state() == RolloutState.TAKEN_BACK) {
      return takenBack.add(key(grant.service(), grant.toVersion(), grant.orderNumber()));
    }
    ShareGrant held = grants.get(grant.service());
    if (held != null && held.orderNumber() > grant.orderNumber()) {
      return false;
    }
    grants.put(grant.service(), grant);
    grantedAtNanos.put(grant.service(), nowNanos);
    if (grant.state() == RolloutState.COMPLETED) {
      return !grant.toVersion().equals(completed.put(grant.service(), grant.toVersion()));
    }
    return held == null || held.sharePermille() != grant.sharePermille();
  }

  /**
   * Takes the row that states how far a move is.
   *
   * @param rowVersion version of the row; an older one than the order's tells of an earlier move
   */
  public void progress(RolloutProgress progress, long rowVersion) {
    RolloutOrder order = orders.get(progress.service());
    if (progress.state() == RolloutState.COMPLETED) {
      completed.put(progress.service(), progress.toVersion());
    } else if (progress.state() == RolloutState.TAKEN_BACK
        && order != null
        && rowVersion > order.number()
        && order.toVersion().equals(progress.toVersion())) {
      takenBack.add(key(order.service(), order.toVersion(), order.number()));
    }
  }

  /** Returns the orders that are not at their end. */
  public List<RolloutOrder> running() {
    List<RolloutOrder> running = new ArrayList<>();
    for (RolloutOrder order : orders.values()) {
      if (state(order) == RolloutState.RUNNING) {
        running.add(order);
      }
    }
    return running;
  }

  /** Returns the latest grant of a service, or null. */
  public @Nullable ShareGrant grantOf(String service) {
    return grants.get(service);
  }

  /** Returns how far the move of an order is. */
  public RolloutState state(RolloutOrder order) {
    if (takenBack.contains(key(order.service(), order.toVersion(), order.number()))) {
      return RolloutState.TAKEN_BACK;
    }
    return order.toVersion().equals(completed.get(order.service()))
        ? RolloutState.COMPLETED
        : RolloutState.RUNNING;
  }

  /** Returns the ends of moves that other nodes should know. */
  public List<ShareGrant> ends() {
    List<ShareGrant> ends = new ArrayList<>();
    for (RolloutOrder order : orders.values()) {
      RolloutState state = state(order);
      if (state != RolloutState.RUNNING) {
        int share = state == RolloutState.COMPLETED ? 1000 : 0;
        ends.add(
            new ShareGrant(
                order.service(),
                order.toVersion(),
                order.number(),
                Long.MAX_VALUE,
                share,
                state,
                order.durationMs()));
      }
    }
    return ends;
  }

  private static String key(String service, String version, long orderNumber) {
    return service + '\n' + version + '\n' + orderNumber;
  }

  /** Returns the version that carries a service's traffic before a move ends, or empty. */
  public String currentVersion(String service, List<Candidate> candidates) {
    RolloutOrder order = orders.get(service);
    String done = completed.get(service);
    if (done != null) {
      return done;
    }
    // Without a finished move it is the version of the target that runs longest.
    Candidate oldest = null;
    for (Candidate candidate : candidates) {
      boolean unproved = order != null && candidate.status().version().equals(order.toVersion());
      boolean known = !candidate.status().id().isEmpty();
      if (known
          && !unproved
          && (oldest == null || candidate.status().startedMs() < oldest.status().startedMs())) {
        oldest = candidate;
      }
    }
    return oldest == null ? "" : oldest.status().version();
  }

  /**
   * Returns the test that targets have to pass for one request.
   *
   * @param service service of the request
   * @param candidates all targets of the service
   * @param draw uniform draw from [0, 1) that decides between the versions
   * @param nowNanos monotonic time
   */
  public Predicate<Candidate> filter(
      String service, List<Candidate> candidates, double draw, long nowNanos) {
    String current = currentVersion(service, candidates);
    RolloutOrder order = orders.get(service);
    if (order != null && state(order) == RolloutState.RUNNING) {
      int share = sharePermille(order, nowNanos);
      if (draw * 1000 < share) {
        Predicate<Candidate> fresh = newTargets(order.toVersion(), candidates, share);
        if (candidates.stream()
            .anyMatch(each -> each.status().acceptsCalls() && fresh.test(each))) {
          return fresh;
        }
      }
    }
    return candidate -> candidate.status().version().equals(current);
  }

  private int sharePermille(RolloutOrder order, long nowNanos) {
    ShareGrant grant = grants.get(order.service());
    Long atNanos = grantedAtNanos.get(order.service());
    if (grant == null || atNanos == null || grant.orderNumber() != order.number()) {
      return 0;
    }
    return nowNanos - atNanos < GRANT_NANOS ? grant.sharePermille() : 0;
  }

  // The first ones by id, so that all nodes load the same few.
  private static Predicate<Candidate> newTargets(
      String version, List<Candidate> candidates, int sharePermille) {
    List<String> ids = new ArrayList<>();
    for (Candidate candidate : candidates) {
      if (candidate.status().acceptsCalls() && candidate.status().version().equals(version)) {
        ids.add(candidate.status().id());
      }
    }
    ids.sort(null);
    int count = ids.isEmpty() ? 0 : RolloutSteps.targets(sharePermille, ids.size());
    Set<String> used = new HashSet<>(ids.subList(0, count));
    return candidate -> used.contains(candidate.status().id());
  }
}
