package org.acaciapond.mesh.pace;

/** State of the limit on concurrent calls to a target. */
public enum PaceState {
  /** All slots of the target are used. */
  OPEN,
  /** The limit rises after a start or a recovery, with each answer. */
  SLOW_START,
  /** The limit is lower than the slots, as more concurrent calls brought no more work done. */
  LIMITED,
  /** The target has stopped to answer; it gets one call at a time until it answers. */
  SILENT,
  /** The target accepts no connections; it gets one call at a time until it answers. */
  UNREACHABLE
}
