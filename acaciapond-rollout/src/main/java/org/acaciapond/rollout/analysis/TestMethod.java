package org.acaciapond.rollout.analysis;

/** Way of turning counts into evidence against the new version. */
public enum TestMethod {
  /** Mixture of conditional likelihood ratios over several sizes of harm. */
  MIXTURE_RATIO,
  /** Confidence sequence with a half-normal mixture on the excess of events. */
  CONFIDENCE_SEQUENCE,
  /** Plain z test at the end of each fixed window; the baseline of the comparison. */
  FIXED_WINDOW
}
