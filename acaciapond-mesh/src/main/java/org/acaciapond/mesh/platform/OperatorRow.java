package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.route.DesiredState;

/** Decoded row that the operator wrote. */
public sealed interface OperatorRow {

  /** A version of the desired state. */
  record State(DesiredState state) implements OperatorRow {}

  /** An order to roll out a version of a service. */
  record Order(RolloutOrder order) implements OperatorRow {}

  /**
   * An order to send nothing more to the targets of a failure domain.
   *
   * @param domain failure domain
   * @param inForce whether the order is in force; false if the operator has removed it
   */
  record Evacuation(String domain, boolean inForce) implements OperatorRow {}

  /** A row that cannot be decoded or does not concern nodes. */
  record Unknown(String problem) implements OperatorRow {}
}
