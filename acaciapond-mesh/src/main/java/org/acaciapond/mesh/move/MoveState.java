package org.acaciapond.mesh.move;

/** How far a move is. */
public enum MoveState {
  /** Traffic is moving. */
  RUNNING,
  /** The new version has all traffic. */
  COMPLETED,
  /** The new version was taken back. */
  TAKEN_BACK
}
