package org.acaciapond.rollout.state;

import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Invariants of rollouts; a violation is counted and, in tests and experiments, thrown. */
public final class RolloutInvariants {

  private final boolean throwing;
  private final AtomicLong violations = new AtomicLong();

  /** Creates a checker that counts violations and optionally throws on them. */
  public RolloutInvariants(boolean throwing) {
    this.throwing = throwing;
  }

  /** Returns the violations so far. */
  public long violations() {
    return violations.get();
  }

  /** No version that was taken back gets a share. */
  public void nothingAfterTakenBack(double share, boolean takenBack) {
    check(!takenBack || share == 0, "share after take-back");
  }

  /** No share exceeds what was granted. */
  public void withinGrant(double share, @Nullable ShareGrant grant) {
    check(share == 0 || grant != null && share <= grant.share(), "share above the grant");
  }

  /** One grant number stands for one grant. */
  public void sameNumberSameGrant(ShareGrant known, ShareGrant other) {
    check(known.number() != other.number() || known.equals(other), "two grants of one number");
  }

  /** A row follows another without going back, skipping a grant or leaving the end state. */
  public void follows(RolloutRow before, RolloutRow after) {
    boolean same = before.to().equals(after.to()) && before.startedAt().equals(after.startedAt());
    if (!same) {
      check(after.grantNumber() >= before.grantNumber(), "grant number went back");
      return;
    }
    check(after.grantNumber() - before.grantNumber() <= 1, "grant number skipped");
    check(after.grantNumber() >= before.grantNumber(), "grant number went back");
    boolean changed = after.share() != before.share() || after.targets() != before.targets();
    check(!changed || after.grantNumber() > before.grantNumber(), "share changed without a grant");
    check(
        before.state() != RolloutState.TAKEN_BACK || after.state() == RolloutState.TAKEN_BACK,
        "a version taken back came back");
    check(after.state() != RolloutState.TAKEN_BACK || after.share() == 0, "share after take-back");
    check(
        after.state() == RolloutState.TAKEN_BACK || after.share() >= before.share(),
        "share lowered without take-back");
    check(
        after.state() != RolloutState.LATE || after.share() == before.share(),
        "a late rollout was forced");
  }

  /** A grant is announced only once its row is recorded. */
  public void announced(ShareGrant grant, RolloutRow recorded) {
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
