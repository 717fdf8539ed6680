package org.acaciapond.platform.client;

/**
 * Result of a conditional write.
 *
 * @param outcome whether the write took effect
 * @param revision new revision if the write was applied, otherwise 0
 */
public record WriteResult(Outcome outcome, long revision) {

  /** Outcome of a write. */
  public enum Outcome {
    /** The write is known to have taken effect. */
    APPLIED,
    /**
     * The write is known not to have taken effect, because the row had another revision or the
     * platform admitted no attempt.
     */
    NOT_APPLIED,
    /** It is not known whether the write took effect. */
    UNKNOWN
  }
}
