package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.move.MoveOrder;
import org.acaciapond.mesh.route.DesiredState;

/** Meaning of a row that the operator wrote. */
public sealed interface OperatorFact {

  /** A version of the text. */
  record State(DesiredState state) implements OperatorFact {}

  /** An order to move a service's traffic. */
  record Order(MoveOrder order) implements OperatorFact {}

  /** A row that cannot be read, or that means nothing to nodes. */
  record Unknown(String problem) implements OperatorFact {}
}
