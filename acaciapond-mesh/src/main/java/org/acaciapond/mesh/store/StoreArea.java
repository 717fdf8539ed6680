package org.acaciapond.mesh.store;

/** Area of the platform's store. */
public enum StoreArea {
  /** Rows that the operator writes: the desired state and orders of moves. */
  OPERATOR,
  /** Rows that state how far moves are. */
  MOVES,
  /** Rows by which nodes find each other. */
  NODES
}
