package org.acaciapond.mesh.rollout;

import org.acaciapond.mesh.store.StoreVersion;

/**
 * Operator's order to roll out a version of a service.
 *
 * @param service service whose traffic is shifted
 * @param toVersion version that receives the traffic
 * @param durationMs time within which the rollout should be complete
 * @param number version of the store that the order created, as {@link StoreVersion#toNumber}; a
 *     higher one replaces a lower one of the same service
 */
public record RolloutOrder(String service, String toVersion, int durationMs, long number) {

  /**
   * Returns whether another order is this one in a later era of the store: the store kept its row,
   * or the operator has written it again.
   */
  boolean isRepeatedBy(RolloutOrder other) {
    return other.service.equals(service)
        && other.toVersion.equals(toVersion)
        && other.durationMs == durationMs
        && other.era() > era();
  }

  /** Returns whether another order is the row of this one, kept by the store in a later era. */
  boolean isKeptAs(RolloutOrder other) {
    return isRepeatedBy(other)
        && StoreVersion.ofNumber(other.number).version() == StoreVersion.ofNumber(number).version();
  }

  private long era() {
    return StoreVersion.ofNumber(number).era();
  }
}
