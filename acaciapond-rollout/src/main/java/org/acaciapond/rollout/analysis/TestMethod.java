package org.acaciapond.rollout.analysis;

/** Statistical test that turns counts into evidence against the new version. */
public enum TestMethod {
  /** Mixture of conditional likelihood ratios over several effect sizes. */
  MIXTURE_RATIO,
  /** Confidence sequence with a half-normal mixture on the excess of events. */
  CONFIDENCE_SEQUENCE,
  /** Plain z test at the end of each fixed window; a baseline to compare the others with. */
  FIXED_WINDOW
}
