package org.acaciapond.rollout.analysis;

/** Event whose frequency is compared between the versions. */
public enum Metric {
  /** Failed calls. */
  ERRORS("more errors"),
  /** Calls slower than three quarters of the old version's calls. */
  SLOW("slower calls"),
  /** Calls slower than 95 in 100 of the old version's calls. */
  TAIL("more very slow calls");

  private final String description;

  Metric(String description) {
    this.description = description;
  }

  /** Returns the text that names this metric in the reason of a result. */
  public String description() {
    return description;
  }
}
