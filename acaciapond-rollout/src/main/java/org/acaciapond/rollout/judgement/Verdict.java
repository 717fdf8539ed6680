package org.acaciapond.rollout.judgement;

/**
 * Present judgement of the new version.
 *
 * @param condemned whether the version is proved bad
 * @param suspicious whether evidence is strong enough to delay raises
 * @param newCalls informative calls to the new version so far
 * @param logEvidence log of the strongest evidence against the version
 * @param reason strongest complaint, in words
 */
public record Verdict(
    boolean condemned, boolean suspicious, long newCalls, double logEvidence, String reason) {

  /** Judgement without any evidence. */
  public static final Verdict NONE = new Verdict(false, false, 0, 0, "no evidence yet");

  /** Returns the same judgement after more calls. */
  public Verdict withCalls(long calls) {
    return new Verdict(condemned, suspicious, calls, logEvidence, reason);
  }
}
