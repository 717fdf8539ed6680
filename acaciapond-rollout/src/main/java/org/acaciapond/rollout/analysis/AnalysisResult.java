package org.acaciapond.rollout.analysis;

/**
 * Present judgement of the new version.
 *
 * @param condemned whether the version is proved bad
 * @param suspicious whether evidence is strong enough to delay raises
 * @param newCalls informative calls to the new version so far
 * @param logEvidence log of the strongest evidence against the version
 * @param reason strongest complaint, in words
 */
public record AnalysisResult(
    boolean condemned, boolean suspicious, long newCalls, double logEvidence, String reason) {

  /** Judgement without any evidence. */
  public static final AnalysisResult NONE =
      new AnalysisResult(false, false, 0, 0, "no evidence yet");

  /** Returns the same judgement after more calls. */
  public AnalysisResult withCalls(long calls) {
    return new AnalysisResult(condemned, suspicious, calls, logEvidence, reason);
  }
}
