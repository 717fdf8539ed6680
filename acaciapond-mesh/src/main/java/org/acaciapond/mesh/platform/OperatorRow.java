package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.rollout.RolloutOrder;
import org.acaciapond.mesh.route.DesiredState;

/** Meaning of a row that the operator wrote. */
public sealed interface OperatorRow {

  /** A version of the text. */
  record State(DesiredState state) implements OperatorRow {}

  /** An order to move a service's traffic. */
  record Order(RolloutOrder order) implements OperatorRow {}

  /** A row that cannot be read, or that means nothing to nodes. */
  record Unknown(String problem) implements OperatorRow {}
}
