package org.acaciapond.rollout.analysis;

/**
 * Result of comparing the new version with the old one.
 *
 * @param rejected whether the version was found bad
 * @param suspicious whether the evidence is strong enough to delay raises
 * @param newCalls calls to the new version that counted as evidence so far
 * @param logEvidence log of the strongest evidence against the version
 * @param reason metric and route with the strongest evidence, in words
 */
public record AnalysisResult(
    boolean rejected, boolean suspicious, long newCalls, double logEvidence, String reason) {

  /** Result without any evidence. */
  public static final AnalysisResult NONE =
      new AnalysisResult(false, false, 0, 0, "no evidence yet");

  /** Returns a copy with another number of calls to the new version. */
  public AnalysisResult withNewCalls(long calls) {
    return new AnalysisResult(rejected, suspicious, calls, logEvidence, reason);
  }
}
