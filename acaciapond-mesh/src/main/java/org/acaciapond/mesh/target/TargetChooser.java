package org.acaciapond.mesh.target;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.acaciapond.mesh.admission.CallRank;
import org.acaciapond.mesh.admission.WaitLimit;
import org.jspecify.annotations.Nullable;

/**
 * Selector of the target with the lowest expected cost for a request. The cost is a share of the
 * value of the request: the probability to miss its latency objective or its deadline, the failures
 * of the target, its load, and the bytes sent to another failure domain.
 */
public final class TargetChooser {

  /** Largest random part of a cost; among targets whose costs differ by less, any is chosen. */
  public static final double MAX_RANDOM_COST = 0.004;

  private static final double DEFAULT_SERVICE_US = 100_000;
  // Cost of a response that misses the objective but not the deadline, as a share of the request's
  // value.
  private static final double MISSED_OBJECTIVE_COST = 0.7;
  // Exponent of the probability to miss a time limit, for service times with a lognormal
  // distribution whose standard deviation in log space is one half.
  private static final double MISS_EXPONENT = 3.4;
  // Share of a request's value per kilobyte sent to another failure domain.
  private static final double OTHER_DOMAIN_COST_PER_KB = 0.15;
  // Bytes of the request, the headers and the frames of a call, without the response body.
  private static final double CALL_OVERHEAD_BYTES = 400;
  // Cost of each call ahead at the target, divided by its slots: balances the targets of a domain
  // and accounts for the delay that the call causes to later ones.
  private static final double LOAD_COST = 0.08;
  private static final double OTHER_NODE_COST = 0.002;
  private static final double AVOIDED_COST = 100;
  // The target's own node decides on admission by exact figures. A call that it would most likely
  // refuse is not sent, as sending costs both nodes.
  private static final double LIKELY_REFUSAL_FACTOR = 1.5;
  private static final double WAIT_TOLERANCE_US = 5_000;

  private final String localNode;
  private final String localDomain;
  private final DoubleSupplier random;

  /**
   * Creates a chooser.
   *
   * @param localNode key of this node
   * @param localDomain failure domain of this node
   * @param random uniform random numbers from [0, 1)
   */
  public TargetChooser(String localNode, String localDomain, DoubleSupplier random) {
    this.localNode = localNode;
    this.localDomain = localDomain;
    this.random = random;
  }

  /**
   * Returns the candidate with the lowest expected cost among those that are allowed and would most
   * likely admit the request, or null.
   */
  public @Nullable Candidate choose(
      List<Candidate> candidates,
      Predicate<Candidate> allowed,
      SelectionCriteria criteria,
      long nowNanos) {
    double[] costs = costs(candidates, allowed, criteria, nowNanos);
    Candidate best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < costs.length; i++) {
      if (costs[i] == Double.POSITIVE_INFINITY) {
        continue;
      }
      Candidate candidate = candidates.get(i);
      double cost = costs[i] + MAX_RANDOM_COST * random.getAsDouble();
      if (candidate.isAvoided(nowNanos)) {
        cost += AVOIDED_COST;
      }
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Returns the expected costs of the candidates in their order, without the random part and the
   * cost of targets that are avoided. The cost is infinite for a candidate that is not allowed, or
   * would most likely refuse the request. Changes nothing.
   */
  public double[] costs(
      List<Candidate> candidates,
      Predicate<Candidate> allowed,
      SelectionCriteria criteria,
      long nowNanos) {
    double typicalUs = typicalServiceUs(candidates);
    double otherDomainCost =
        OTHER_DOMAIN_COST_PER_KB * (CALL_OVERHEAD_BYTES + criteria.responseBytes()) / 1_000;
    double[] costs = new double[candidates.size()];
    for (int i = 0; i < costs.length; i++) {
      Candidate candidate = candidates.get(i);
      costs[i] =
          candidate.acceptsCalls() && allowed.test(candidate)
              ? cost(candidate, typicalUs, otherDomainCost, criteria, nowNanos)
              : Double.POSITIVE_INFINITY;
    }
    return costs;
  }

  private double cost(
      Candidate candidate,
      double typicalUs,
      double otherDomainCost,
      SelectionCriteria criteria,
      long nowNanos) {
    double slots = candidate.capacity(criteria.coldRequestsPerS(), typicalUs, nowNanos);
    double meanServiceUs = candidate.serviceUs() > 0 ? candidate.serviceUs() : typicalUs;
    double ahead =
        precedesNormalCalls(criteria.rank())
            ? candidate.urgentPending(nowNanos)
            : candidate.pending(nowNanos);
    double routeServiceUs = criteria.serviceUs() > 0 ? criteria.serviceUs() : typicalUs;
    double serviceUs = routeServiceUs * candidate.slowness(typicalUs);
    double waitUs = 0;
    if (ahead >= slots) {
      waitUs = (ahead - slots + 1) / slots * meanServiceUs;
      double limitUs =
          WaitLimit.limitUs(
              criteria.rank(), criteria.objectiveLeftUs(), criteria.leftUs(), serviceUs);
      if (waitUs > LIKELY_REFUSAL_FACTOR * limitUs + WAIT_TOLERANCE_US) {
        return Double.POSITIVE_INFINITY;
      }
    }
    double cost =
        MISSED_OBJECTIVE_COST * missProbability(serviceUs, criteria.objectiveLeftUs() - waitUs)
            + (1 - MISSED_OBJECTIVE_COST) * missProbability(serviceUs, criteria.leftUs() - waitUs);
    cost += LOAD_COST * ahead / slots;
    cost += candidate.failureShare();
    if (!candidate.domain().equals(localDomain)) {
      cost += otherDomainCost;
    } else if (!candidate.node().equals(localNode)) {
      cost += OTHER_NODE_COST;
    }
    return cost;
  }

  // For nested calls of low priority this counts too few calls ahead. The target's node refuses
  // them
  // if necessary; a refusal here would waste the work done for their request without need.
  private static boolean precedesNormalCalls(int rank) {
    return CallRank.isUrgent(rank) || CallRank.isNested(rank);
  }

  private static double missProbability(double serviceUs, double leftUs) {
    return leftUs <= 0 ? 1 : 1 / (1 + Math.pow(leftUs / serviceUs, MISS_EXPONENT));
  }

  private static double typicalServiceUs(List<Candidate> candidates) {
    double sum = 0;
    int known = 0;
    for (Candidate candidate : candidates) {
      if (candidate.serviceUs() > 0) {
        sum += candidate.serviceUs();
        known++;
      }
    }
    return known == 0 ? DEFAULT_SERVICE_US : sum / known;
  }
}
