package org.acaciapond.mesh.store;

/** Group of rows in the platform's store. */
public enum StoreArea {
  /** Rows that the operator writes: the desired state and rollout orders. */
  OPERATOR,
  /** Rows that record the progress of rollouts. */
  ROLLOUTS,
  /** Rows in which nodes publish their addresses. */
  NODES
}
