package org.acaciapond.mesh.target;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.acaciapond.mesh.admission.WaitLimit;
import org.jspecify.annotations.Nullable;

/**
 * Choice of a target by the time that a call would take there: the calls before it, the speed of
 * the target, its failures and the distance.
 */
public final class TargetChooser {

  private static final double DEFAULT_SERVICE_US = 100_000;
  // A target that fails a tenth of its calls counts as twice as slow.
  private static final double FAILURE_WEIGHT = 10;
  // Bytes between failure domains are paid for, so a call leaves its domain only when it would wait
  // there: a target with a free slot stays cheaper than an idle one elsewhere.
  private static final double OTHER_DOMAIN_SHARE = 1.0;
  private static final double OTHER_DOMAIN_SHARE_A_KB = 0.1;
  private static final double MAX_OTHER_DOMAIN_SHARE = 1.6;
  // The node beside the target decides with exact figures; a call that it would most likely refuse
  // is not sent, as sending costs both sides.
  private static final double CERTAIN_REFUSAL_FACTOR = 1.5;
  private static final double OTHER_NODE_SHARE = 0.02;
  private static final double MIN_WAIT_US = 5_000;
  private static final double BUSY_SHARE = 0.5;
  private static final double NOISE_SHARE = 0.05;
  private static final double AVOIDED_FACTOR = 1000;

  private final String localNode;
  private final String localZone;
  private final DoubleSupplier random;

  /**
   * Creates a chooser.
   *
   * @param localNode key of this node
   * @param localZone failure domain of this node
   * @param random uniform draws from [0, 1)
   */
  public TargetChooser(String localNode, String localZone, DoubleSupplier random) {
    this.localNode = localNode;
    this.localZone = localZone;
    this.random = random;
  }

  /**
   * Returns the candidate with the lowest expected time among those that pass and that would most
   * likely take the request, or null.
   */
  public @Nullable Candidate choose(
      List<Candidate> candidates, Predicate<Candidate> allowed, Demand demand, long nowNanos) {
    double typicalUs = typicalServiceUs(candidates);
    double share = OTHER_DOMAIN_SHARE + OTHER_DOMAIN_SHARE_A_KB * demand.answerBytes() / 1_000;
    double otherDomainUs = Math.min(MAX_OTHER_DOMAIN_SHARE, share) * typicalUs;
    Candidate best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      if (!candidate.status().open() || !allowed.test(candidate)) {
        continue;
      }
      double cost = cost(candidate, typicalUs, otherDomainUs, demand, nowNanos);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  private double cost(
      Candidate candidate, double typicalUs, double otherDomainUs, Demand demand, long nowNanos) {
    int slots = Math.max(1, candidate.status().slots());
    double serviceUs = candidate.serviceUs() > 0 ? candidate.serviceUs() : typicalUs;
    double pending = candidate.pending(nowNanos);
    // Below the slots a further call waits for none, but a nearly full target may be slower.
    double busy = pending / slots;
    double waiting = pending < slots ? BUSY_SHARE * busy : (pending + 1) / slots;
    double before = WaitLimit.urgent(demand.rank()) ? candidate.urgentPending(nowNanos) : pending;
    if (before >= slots) {
      double waitUs = (before - slots + 1) / slots * serviceUs;
      double limitUs =
          WaitLimit.us(demand.rank(), demand.objectiveLeftUs(), demand.leftUs(), serviceUs);
      if (waitUs > CERTAIN_REFUSAL_FACTOR * limitUs + MIN_WAIT_US) {
        return Double.POSITIVE_INFINITY;
      }
    }
    double cost = serviceUs * (1 + waiting);
    if (!candidate.zone().equals(localZone)) {
      cost += otherDomainUs;
    } else if (!candidate.node().equals(localNode)) {
      cost += OTHER_NODE_SHARE * typicalUs;
    }
    cost *= 1 + FAILURE_WEIGHT * candidate.failureShare();
    cost *= 1 + NOISE_SHARE * random.getAsDouble();
    return candidate.avoided(nowNanos) ? cost * AVOIDED_FACTOR : cost;
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
