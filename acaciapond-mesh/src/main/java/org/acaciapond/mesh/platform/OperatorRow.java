package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.route.DesiredState;

/** Decoded row that the operator wrote. */
public sealed interface OperatorRow {

  /** A version of the desired state. */
  record State(DesiredState state) implements OperatorRow {}

  /** An order to roll out a version of a service. */
  record Order(RolloutOrder order) implements OperatorRow {}

  /** A row that cannot be decoded or does not concern nodes. */
  record Unknown(String problem) implements OperatorRow {}
}
