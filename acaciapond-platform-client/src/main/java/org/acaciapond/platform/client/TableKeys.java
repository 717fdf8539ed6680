package org.acaciapond.platform.client;

/** Keys of the rows in the platform's table, except those of the head and of leases. */
public final class TableKeys {

  /** Prefix of the rollout row of each service. */
  public static final String ROLLOUT_PREFIX = "rollout/";

  /** Prefix of the rows of taken-back versions, followed by service and version. */
  public static final String TAKEN_BACK_PREFIX = "taken-back/";

  /**
   * Row whose revision changes when an operator takes a version back, so that pollers notice it
   * without listing all taken-back versions.
   */
  public static final String TAKEN_BACK_INDEX = "taken-back-index";

  private TableKeys() {}
}
