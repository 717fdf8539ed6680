package org.acaciapond.mesh.store;

/** Fate of a conditional write. */
public enum WriteOutcome {
  /** It took effect. */
  WRITTEN,
  /** The row had another version; nothing was done. */
  CONFLICT,
  /** The store turned it away; nothing was done. */
  REFUSED,
  /** No answer: it may have taken effect, or may do so later while its condition holds. */
  UNKNOWN
}
