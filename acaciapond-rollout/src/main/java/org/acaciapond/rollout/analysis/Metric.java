package org.acaciapond.rollout.analysis;

/** Kind of event that is compared between the versions. */
public enum Metric {
  /** Failed calls. */
  ERRORS("more errors"),
  /** Calls slower than three quarters of the old version's calls. */
  SLOW("slower calls"),
  /** Calls slower than 95 in 100 of the old version's calls. */
  TAIL("more very slow calls");

  private final String complaint;

  Metric(String complaint) {
    this.complaint = complaint;
  }

  /** Returns the words for a reason. */
  public String complaint() {
    return complaint;
  }
}
