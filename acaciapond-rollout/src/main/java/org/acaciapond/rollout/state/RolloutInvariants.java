package org.acaciapond.rollout.state;

import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Checker of rollout invariants; violations are counted and, in tests and the bench, thrown. */
public final class RolloutInvariants {

  private final boolean throwing;
  private final AtomicLong violations = new AtomicLong();

  /** Creates a checker that counts violations and optionally throws on them. */
  public RolloutInvariants(boolean throwing) {
    this.throwing = throwing;
  }

  /** Returns the number of violations so far. */
  public long violations() {
    return violations.get();
  }

  /** Checks that a version that was taken back gets no share. */
  public void checkNoShareAfterTakeBack(double share, boolean takenBack) {
    check(!takenBack || share == 0, "share after take-back");
  }

  /** Checks that a share does not exceed its grant. */
  public void checkWithinGrant(double share, @Nullable ShareGrant grant) {
    check(share == 0 || grant != null && share <= grant.share(), "share exceeds the grant");
  }

  /** Checks that two grants with the same number are equal. */
  public void checkUniqueGrantNumber(ShareGrant known, ShareGrant other) {
    check(
        known.number() != other.number() || known.equals(other),
        "two different grants with the same number");
  }

  /**
   * Checks that a row may follow another: grant numbers neither decrease nor skip, shares change
   * only with a new grant and not when a rollout becomes late, and a taken-back version stays taken
   * back without a share.
   */
  public void checkTransition(RolloutRow before, RolloutRow after) {
    boolean same = before.to().equals(after.to()) && before.startedAt().equals(after.startedAt());
    if (!same) {
      check(after.grantNumber() >= before.grantNumber(), "grant number decreased");
      return;
    }
    check(after.grantNumber() - before.grantNumber() <= 1, "grant number skipped");
    check(after.grantNumber() >= before.grantNumber(), "grant number decreased");
    boolean changed = after.share() != before.share() || after.targets() != before.targets();
    check(!changed || after.grantNumber() > before.grantNumber(), "share changed without a grant");
    check(
        before.state() != RolloutState.TAKEN_BACK || after.state() == RolloutState.TAKEN_BACK,
        "a version left the state TAKEN_BACK");
    check(after.state() != RolloutState.TAKEN_BACK || after.share() == 0, "share after take-back");
    check(
        after.state() == RolloutState.TAKEN_BACK || after.share() >= before.share(),
        "share lowered without take-back");
    check(
        after.state() != RolloutState.LATE || after.share() == before.share(),
        "the share changed when the rollout became late");
  }

  /** Checks that an announced grant is the recorded one. */
  public void checkAnnounced(ShareGrant grant, RolloutRow recorded) {
    check(grant.equals(recorded.grant()), "grant announced before it was recorded");
  }

  private void check(boolean holds, String rule) {
    if (holds) {
      return;
    }
    violations.incrementAndGet();
    if (throwing) {
      throw new IllegalStateException("rollout invariant violated: " + rule);
    }
  }
}
