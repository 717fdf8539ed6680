package org.acaciapond.platform.client;

/** Keys of the rows that the system keeps in the platform's table, besides the head and leases. */
public final class TableKeys {

  /** Prefix of the rollout row of each service. */
  public static final String ROLLOUT_PREFIX = "rollout/";

  /** Prefix of the taken-back facts, followed by service and version. */
  public static final String TAKEN_BACK_PREFIX = "taken-back/";

  /**
   * Row whose revision changes when an operator takes a version back, so that pollers need not list
   * all facts to notice it.
   */
  public static final String TAKEN_BACK_INDEX = "taken-back-index";

  private TableKeys() {}
}
