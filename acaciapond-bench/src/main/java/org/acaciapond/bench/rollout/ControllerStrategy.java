package org.acaciapond.bench.rollout;

import java.time.Instant;
import java.util.List;
import org.acaciapond.rollout.analysis.CanaryAnalyzer;
import org.acaciapond.rollout.evidence.EvidenceInbox;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.acaciapond.rollout.state.RolloutController;
import org.acaciapond.rollout.state.RolloutDecision;
import org.acaciapond.rollout.state.RolloutEvent;
import org.acaciapond.rollout.state.RolloutInvariants;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.RolloutState;
import org.acaciapond.rollout.state.ShareGrantRegistry;

/** The node's decision code over an in-memory row, with its invariants thrown. */
final class ControllerStrategy implements Strategy {

  private static final int MAX_WITNESSES = 4096;

  private final RolloutInvariants invariants = new RolloutInvariants(true);
  private final ShareGrantRegistry book = new ShareGrantRegistry(invariants);
  private final EvidenceInbox inbox = new EvidenceInbox(MAX_WITNESSES);
  private final CanaryAnalyzer judge;
  private final RolloutController controller;
  private final RolloutCase test;
  private RolloutRow row;
  private long revision = 1;

  ControllerStrategy(RolloutCase test, Policy policy) {
    this.test = test;
    int seconds = (int) Math.ceil(test.bySeconds());
    this.judge =
        new CanaryAnalyzer(
            policy.judgeSettings(seconds), Traffic.SERVICE, Traffic.OLD, Traffic.NEW);
    RolloutScheduler pacer = new RolloutScheduler(policy.paceSettings());
    this.controller = new RolloutController(pacer, invariants, test.targets());
    Instant by = Instant.EPOCH.plusMillis((long) (test.bySeconds() * 1000));
    this.row = RolloutRow.started(Traffic.SERVICE, Traffic.OLD, Traffic.NEW, 0, Instant.EPOCH, by);
    carryOut(controller.handle(new RolloutEvent.LeaseHeld(1)));
  }

  @Override
  public void second(int second, List<EvidenceSummary> arrived, long newCalls, long newErrors) {
    for (EvidenceSummary summary : arrived) {
      if (inbox.accept(summary)) {
        judge.accept(summary);
      }
    }
    Instant now = Instant.ofEpochSecond(second);
    carryOut(controller.handle(new RolloutEvent.Tick(now, judge.verdict(), test.targets())));
  }

  private void carryOut(List<RolloutDecision> decisions) {
    for (RolloutDecision decision : decisions) {
      if (decision instanceof RolloutDecision.ReadRow) {
        carryOut(controller.handle(new RolloutEvent.RowRead(row, revision)));
      } else if (decision instanceof RolloutDecision.WriteRow write) {
        row = write.row();
        revision++;
        carryOut(controller.handle(new RolloutEvent.WriteApplied(revision)));
      } else if (decision instanceof RolloutDecision.Announce announce) {
        book.apply(announce.grant());
      } else if (decision instanceof RolloutDecision.TakeBack takeBack) {
        book.takeBack(takeBack.fact());
      }
    }
  }

  @Override
  public double share() {
    return book.share(Traffic.SERVICE, Traffic.NEW);
  }

  @Override
  public int targets() {
    return row.targets();
  }

  @Override
  public long grant() {
    return row.grantNumber();
  }

  @Override
  public boolean completed() {
    return row.state() == RolloutState.DONE;
  }

  @Override
  public boolean takenBack() {
    return book.isTakenBack(Traffic.SERVICE, Traffic.NEW);
  }

  @Override
  public String ending() {
    return row.state() + " " + row.reason();
  }
}
