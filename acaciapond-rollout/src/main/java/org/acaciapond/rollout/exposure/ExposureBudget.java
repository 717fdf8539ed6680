package org.acaciapond.rollout.exposure;

/**
 * One node's budget of calls to an unproven version. Each node limits its calls to the version to a
 * share of its own calls to the service, so the limit holds for all nodes together without
 * communication: while nodes are cut off from each other, while the analyzer changes, and while two
 * nodes act as analyzers. Not thread-safe.
 */
public final class ExposureBudget {

  private final double share;
  private double slackCalls;
  private long answeredCalls;
  private long exposedCalls;
  private long violations;

  /**
   * Creates a budget.
   *
   * @param share share of the node's calls to the service, from 0 to 1
   */
  public ExposureBudget(double share) {
    this.share = share;
  }

  /** Sets the number of calls that the node may send in addition to the share. */
  public void setSlackCalls(double calls) {
    slackCalls = calls;
  }

  /** Returns whether one more call to the unproven version is within the budget. */
  public boolean allowsCall() {
    return exposedCalls + 1 <= share * answeredCalls + slackCalls;
  }

  /** Counts a call that is sent to the unproven version. */
  public void recordExposure() {
    if (!allowsCall()) {
      violations++;
    }
    exposedCalls++;
  }

  /** Takes back the count of a call that was refused before it reached the target. */
  public void recordRefusal() {
    exposedCalls = Math.max(0, exposedCalls - 1);
  }

  /** Counts a call to any version of the service that reached its target. */
  public void recordAnswer() {
    answeredCalls++;
  }

  /** Returns the number of calls sent to the unproven version. */
  public long exposedCalls() {
    return exposedCalls;
  }

  /** Returns the number of calls that were sent although the budget did not allow them. */
  public long violations() {
    return violations;
  }
}
