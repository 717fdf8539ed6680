package org.acaciapond.mesh.store;

/** Outcome of a conditional write. */
public enum WriteOutcome {
  /** It took effect. */
  WRITTEN,
  /** The row had another version; nothing was written. */
  CONFLICT,
  /** The store rejected it; nothing was written. */
  REFUSED,
  /** No response: it may have taken effect, or may still do so while its condition holds. */
  UNKNOWN
}
