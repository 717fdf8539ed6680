package org.acaciapond.mesh.target;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.acaciapond.mesh.admission.WaitLimit;
import org.jspecify.annotations.Nullable;

/**
 * Choice of a target by the worth that a request is expected to lose there: by an answer after its
 * objective or its deadline, by the failures of the target, and by the bytes that it sends to
 * another failure domain.
 */
public final class TargetChooser {

  private static final double DEFAULT_SERVICE_US = 100_000;
  // Part of a request's worth that is lost when its answer misses the objective but not the
  // deadline.
  private static final double LATE_LOSS = 0.7;
  // Steepness of the chance to miss a time, for run times that spread like a lognormal variable
  // with a deviation of one half.
  private static final double SPREAD_EXPONENT = 3.4;
  // Parts of a request's worth.
  private static final double OTHER_DOMAIN_COST_A_KB = 0.15;
  // Request, headers and frames of a call, beside the body of its answer.
  private static final double CALL_BYTES = 400;
  // Weight of a call before this one at the target, as a part of its slots: keeps targets of one
  // domain equally busy and shows what the call costs those behind it.
  private static final double LOAD_COST = 0.08;
  private static final double OTHER_NODE_COST = 0.002;
  private static final double NOISE = 0.004;
  private static final double AVOIDED_COST = 100;
  // The node beside the target decides with exact figures; a call that it would most likely refuse
  // is not sent, as sending costs both sides.
  private static final double CERTAIN_REFUSAL_FACTOR = 1.5;
  private static final double MIN_WAIT_US = 5_000;

  private final String localNode;
  private final String localDomain;
  private final DoubleSupplier random;

  /**
   * Creates a chooser.
   *
   * @param localNode key of this node
   * @param localDomain failure domain of this node
   * @param random uniform draws from [0, 1)
   */
  public TargetChooser(String localNode, String localDomain, DoubleSupplier random) {
    this.localNode = localNode;
    this.localDomain = localDomain;
    this.random = random;
  }

  /**
   * Returns the candidate with the lowest expected loss among those that pass and that would most
   * likely take the request, or null.
   */
  public @Nullable Candidate choose(
      List<Candidate> candidates,
      Predicate<Candidate> allowed,
      SelectionCriteria demand,
      long nowNanos) {
    double typicalUs = typicalServiceUs(candidates);
    double otherDomainCost = OTHER_DOMAIN_COST_A_KB * (CALL_BYTES + demand.answerBytes()) / 1_000;
    Candidate best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      if (!candidate.status().open() || !allowed.test(candidate)) {
        continue;
      }
      double cost = cost(candidate, typicalUs, otherDomainCost, demand, nowNanos);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  private double cost(
      Candidate candidate,
      double typicalUs,
      double otherDomainCost,
      SelectionCriteria demand,
      long nowNanos) {
    int slots = Math.max(1, candidate.status().slots());
    double serviceUs = candidate.serviceUs() > 0 ? candidate.serviceUs() : typicalUs;
    double before =
        WaitLimit.isUrgent(demand.rank())
            ? candidate.urgentPending(nowNanos)
            : candidate.pending(nowNanos);
    double ordinaryUs = demand.runUs() > 0 ? demand.runUs() : typicalUs;
    double runUs = ordinaryUs * candidate.slowness(typicalUs);
    double waitUs = 0;
    if (before >= slots) {
      waitUs = (before - slots + 1) / slots * serviceUs;
      double limitUs =
          WaitLimit.limitUs(demand.rank(), demand.objectiveLeftUs(), demand.leftUs(), runUs);
      if (waitUs > CERTAIN_REFUSAL_FACTOR * limitUs + MIN_WAIT_US) {
        return Double.POSITIVE_INFINITY;
      }
    }
    double cost =
        LATE_LOSS * missChance(runUs, demand.objectiveLeftUs() - waitUs)
            + (1 - LATE_LOSS) * missChance(runUs, demand.leftUs() - waitUs);
    cost += LOAD_COST * before / slots;
    cost += candidate.failureShare();
    if (!candidate.domain().equals(localDomain)) {
      cost += otherDomainCost;
    } else if (!candidate.node().equals(localNode)) {
      cost += OTHER_NODE_COST;
    }
    cost += NOISE * random.getAsDouble();
    return candidate.avoided(nowNanos) ? cost + AVOIDED_COST : cost;
  }

  private static double missChance(double runUs, double leftUs) {
    return leftUs <= 0 ? 1 : 1 / (1 + Math.pow(leftUs / runUs, SPREAD_EXPONENT));
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
