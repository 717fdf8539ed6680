package org.acaciapond.mesh.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.rollout.exposure.ExposureBudget;
import org.acaciapond.rollout.exposure.ExposureSchedule;
import org.jspecify.annotations.Nullable;

/**
 * Registry of the rollout orders and share grants that a node knows, from which it derives the
 * versions that its requests may use. Taken-back versions are only ever added, so they spread
 * between nodes without a consensus protocol.
 */
public final class RolloutRegistry {

  // The analyzer renews its grants several times within this time. When they expire, an unproven
  // version gets no further requests.
  private static final long GRANT_VALIDITY_NANOS = 2_000_000_000L;

  private final ExposureSchedule schedule;
  private final Map<String, RolloutOrder> orders = new HashMap<>();
  // The order that each one replaced, which an older copy of the store may hold.
  private final Map<String, RolloutOrder> replacedOrders = new HashMap<>();
  private final Map<String, ShareGrant> grants = new HashMap<>();
  private final Map<String, Long> grantReceivedNanos = new HashMap<>();
  private final Map<String, String> completed = new HashMap<>();
  private final Set<String> takenBack = new HashSet<>();
  private final Map<String, ExposureBudget> budgets = new HashMap<>();

  /** Creates a registry without orders, which limits calls to unproven versions by a schedule. */
  public RolloutRegistry(ExposureSchedule schedule) {
    this.schedule = schedule;
  }

  /** Applies an order; returns whether it is newer than the known one of the service. */
  public boolean applyOrder(RolloutOrder order) {
    RolloutOrder known = orders.get(order.service());
    if (known != null && known.number() >= order.number()) {
      return false;
    }
    RolloutOrder replaced = replacedOrders.get(order.service());
    if (replaced != null && replaced.isKeptAs(order)) {
      return false;
    }
    if (known != null) {
      replacedOrders.put(order.service(), known);
    }
    orders.put(order.service(), order);
    budgets.put(order.service(), schedule.createBudget());
    return true;
  }

  /**
   * Gives the known order of a service the number that it has in a later era of the store; its
   * rollout goes on, or stays ended.
   *
   * @return whether the order is the known one in a later era
   */
  public boolean renumber(RolloutOrder order) {
    RolloutOrder known = orders.get(order.service());
    if (known == null || !known.isRepeatedBy(order)) {
      return false;
    }
    if (stateOf(known) == RolloutState.TAKEN_BACK) {
      takenBack.add(orderKey(order.service(), order.toVersion(), order.number()));
    }
    orders.put(order.service(), order);
    ShareGrant grant = grants.get(order.service());
    if (grant != null && grant.orderNumber() == known.number()) {
      grants.put(order.service(), grant.withOrderNumber(order.number()));
    }
    return true;
  }

  /** Returns the orders of all services. */
  public List<RolloutOrder> orders() {
    return List.copyOf(orders.values());
  }

  /** Sets the number of known nodes, which share the slack of the budget. */
  public void setKnownNodes(int nodes) {
    double slackCalls = schedule.limits().slackCallsPerNode(nodes);
    budgets.values().forEach(budget -> budget.setSlackCalls(slackCalls));
  }

  /** Counts a call that this node sends to a target; returns whether its version is unproven. */
  public boolean recordCallSent(TargetStatus target) {
    RolloutOrder order = orders.get(target.service());
    if (order == null
        || !order.toVersion().equals(target.version())
        || stateOf(order) != RolloutState.RUNNING) {
      return false;
    }
    budgetOf(order).recordExposure();
    return true;
  }

  /** Takes back the count of a call to an unproven version that did not reach its target. */
  public void recordCallRefused(TargetStatus target) {
    RolloutOrder order = orders.get(target.service());
    if (order != null && order.toVersion().equals(target.version())) {
      budgetOf(order).recordRefusal();
    }
  }

  /** Counts a call that reached a target. */
  public void recordCallAnswered(String service) {
    ExposureBudget budget = budgets.get(service);
    if (budget != null) {
      budget.recordAnswer();
    }
  }

  /** Returns how many calls were sent to unproven versions beyond the budget. */
  public long budgetViolations() {
    return budgets.values().stream().mapToLong(ExposureBudget::violations).sum();
  }

  private ExposureBudget budgetOf(RolloutOrder order) {
    return budgets.computeIfAbsent(order.service(), service -> schedule.createBudget());
  }

  /** Applies a grant; returns whether it changed the share or the state of a rollout. */
  public boolean applyGrant(ShareGrant grant, long nowNanos) {
    if (grant.state() == RolloutState.TAKEN_BACK) {
      return takenBack.add(orderKey(grant.service(), grant.toVersion(), grant.orderNumber()));
    }
    ShareGrant known = grants.get(grant.service());
    if (known != null && known.orderNumber() > grant.orderNumber()) {
      return false;
    }
    grants.put(grant.service(), grant);
    grantReceivedNanos.put(grant.service(), nowNanos);
    if (grant.state() == RolloutState.COMPLETED) {
      return !grant.toVersion().equals(completed.put(grant.service(), grant.toVersion()));
    }
    return known == null || known.sharePermille() != grant.sharePermille();
  }

  /**
   * Applies the stored progress of a rollout.
   *
   * @param progress content of the progress row
   * @param rowNumber version of the row as a number; if it is not above the number of the order,
   *     the row belongs to an earlier rollout
   */
  public void applyProgress(RolloutProgress progress, long rowNumber) {
    RolloutOrder order = orders.get(progress.service());
    if (progress.state() == RolloutState.COMPLETED) {
      completed.put(progress.service(), progress.toVersion());
    } else if (progress.state() == RolloutState.TAKEN_BACK
        && order != null
        && rowNumber > order.number()
        && order.toVersion().equals(progress.toVersion())) {
      takenBack.add(orderKey(order.service(), order.toVersion(), order.number()));
    }
  }

  /** Returns the orders whose rollouts are running. */
  public List<RolloutOrder> runningOrders() {
    List<RolloutOrder> running = new ArrayList<>();
    for (RolloutOrder order : orders.values()) {
      if (stateOf(order) == RolloutState.RUNNING) {
        running.add(order);
      }
    }
    return running;
  }

  /** Returns the latest grant of a service, or null. */
  public @Nullable ShareGrant latestGrant(String service) {
    return grants.get(service);
  }

  /** Returns the state of an order's rollout. */
  public RolloutState stateOf(RolloutOrder order) {
    if (takenBack.contains(orderKey(order.service(), order.toVersion(), order.number()))) {
      return RolloutState.TAKEN_BACK;
    }
    return order.toVersion().equals(completed.get(order.service()))
        ? RolloutState.COMPLETED
        : RolloutState.RUNNING;
  }

  /** Returns grants that report the ended rollouts to other nodes. */
  public List<ShareGrant> endedRollouts() {
    List<ShareGrant> ended = new ArrayList<>();
    for (RolloutOrder order : orders.values()) {
      RolloutState state = stateOf(order);
      if (state != RolloutState.RUNNING) {
        int share = state == RolloutState.COMPLETED ? 1000 : 0;
        ended.add(
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
    return ended;
  }

  private static String orderKey(String service, String version, long orderNumber) {
    return service + '\n' + version + '\n' + orderNumber;
  }

  /** Returns the version that gets a service's traffic until a rollout completes, or empty. */
  public String currentVersion(String service, List<Candidate> candidates) {
    RolloutOrder order = orders.get(service);
    String completedVersion = completed.get(service);
    if (completedVersion != null) {
      return completedVersion;
    }
    // Without a completed rollout it is the version of the target that started first.
    Candidate oldest = null;
    for (Candidate candidate : candidates) {
      boolean unproven = order != null && candidate.status().version().equals(order.toVersion());
      boolean hasStatus = !candidate.status().id().isEmpty();
      if (hasStatus
          && !unproven
          && (oldest == null || candidate.status().startedMs() < oldest.status().startedMs())) {
        oldest = candidate;
      }
    }
    return oldest == null ? "" : oldest.status().version();
  }

  /**
   * Returns a filter for the targets that one request may use.
   *
   * @param service service of the request
   * @param candidates all targets of the service
   * @param draw uniform random number from [0, 1) that selects the version
   * @param nowNanos monotonic time
   */
  public Predicate<Candidate> versionFilter(
      String service, List<Candidate> candidates, double draw, long nowNanos) {
    String current = currentVersion(service, candidates);
    RolloutOrder order = orders.get(service);
    if (order != null && stateOf(order) == RolloutState.RUNNING) {
      int share = sharePermille(order, nowNanos);
      if (draw * 1000 < share && budgetOf(order).allowsCall()) {
        Predicate<Candidate> newTargets = newVersionTargets(order.toVersion(), candidates, share);
        if (candidates.stream().anyMatch(each -> each.acceptsCalls() && newTargets.test(each))) {
          return newTargets;
        }
      }
    }
    return candidate -> candidate.status().version().equals(current);
  }

  /** Returns the share of a service's requests that a version without proof gets, in permille. */
  public int unprovenSharePermille(String service, long nowNanos) {
    RolloutOrder order = orders.get(service);
    return order == null || stateOf(order) != RolloutState.RUNNING
        ? 0
        : sharePermille(order, nowNanos);
  }

  private int sharePermille(RolloutOrder order, long nowNanos) {
    ShareGrant grant = grants.get(order.service());
    Long receivedNanos = grantReceivedNanos.get(order.service());
    if (grant == null || receivedNanos == null || grant.orderNumber() != order.number()) {
      return 0;
    }
    return nowNanos - receivedNanos < GRANT_VALIDITY_NANOS ? grant.sharePermille() : 0;
  }

  /** Returns the number of a service's targets of a version that accept calls. */
  public static int acceptingTargets(String version, List<Candidate> candidates) {
    return acceptingTargetIds(version, candidates).size();
  }

  private static List<String> acceptingTargetIds(String version, List<Candidate> candidates) {
    List<String> ids = new ArrayList<>();
    for (Candidate candidate : candidates) {
      TargetStatus status = candidate.status();
      if (candidate.acceptsCalls() && status.version().equals(version)) {
        ids.add(status.id());
      }
    }
    return ids;
  }

  // Selects the lowest ids, so that all nodes send the share to the same targets.
  private static Predicate<Candidate> newVersionTargets(
      String version, List<Candidate> candidates, int sharePermille) {
    List<String> ids = acceptingTargetIds(version, candidates);
    ids.sort(null);
    int count = ids.isEmpty() ? 0 : ExposureSchedule.targetCount(sharePermille, ids.size());
    Set<String> selectedIds = new HashSet<>(ids.subList(0, count));
    return candidate -> selectedIds.contains(candidate.status().id());
  }
}
