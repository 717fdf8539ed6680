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

/** Strategy that runs the rollout controller of the node on a row in memory. */
final class ControllerStrategy implements Strategy {

  private static final int MAX_REPORTERS = 4096;

  private final RolloutInvariants invariants = new RolloutInvariants(true);
  private final ShareGrantRegistry registry = new ShareGrantRegistry(invariants);
  private final EvidenceInbox inbox = new EvidenceInbox(MAX_REPORTERS);
  private final CanaryAnalyzer analyzer;
  private final RolloutController controller;
  private final RolloutCase test;
  private RolloutRow row;
  private long revision = 1;

  ControllerStrategy(RolloutCase test, Policy policy) {
    this.test = test;
    int seconds = (int) Math.ceil(test.deadlineSeconds());
    this.analyzer =
        new CanaryAnalyzer(
            policy.analysisSettings(seconds), Traffic.SERVICE, Traffic.OLD, Traffic.NEW);
    RolloutScheduler scheduler = new RolloutScheduler(policy.scheduleSettings());
    this.controller = new RolloutController(scheduler, invariants, test.targets());
    Instant deadline = Instant.EPOCH.plusMillis((long) (test.deadlineSeconds() * 1000));
    this.row =
        RolloutRow.started(Traffic.SERVICE, Traffic.OLD, Traffic.NEW, 0, Instant.EPOCH, deadline);
    execute(controller.handle(new RolloutEvent.LeaseHeld(1)));
  }

  @Override
  public void advance(int second, List<EvidenceSummary> received, long newCalls, long newErrors) {
    for (EvidenceSummary summary : received) {
      if (inbox.accept(summary)) {
        analyzer.accept(summary);
      }
    }
    Instant now = Instant.ofEpochSecond(second);
    execute(controller.handle(new RolloutEvent.Tick(now, analyzer.result(), test.targets())));
  }

  private void execute(List<RolloutDecision> decisions) {
    for (RolloutDecision decision : decisions) {
      if (decision instanceof RolloutDecision.ReadRow) {
        execute(controller.handle(new RolloutEvent.RowRead(row, revision)));
      } else if (decision instanceof RolloutDecision.WriteRow write) {
        row = write.row();
        revision++;
        execute(controller.handle(new RolloutEvent.WriteApplied(revision)));
      } else if (decision instanceof RolloutDecision.Announce announce) {
        registry.apply(announce.grant());
      } else if (decision instanceof RolloutDecision.TakeBack takeBack) {
        registry.takeBack(takeBack.version());
      }
    }
  }

  @Override
  public double share() {
    return registry.share(Traffic.SERVICE, Traffic.NEW);
  }

  @Override
  public int targets() {
    return row.targets();
  }

  @Override
  public long grantNumber() {
    return row.grantNumber();
  }

  @Override
  public boolean completed() {
    return row.state() == RolloutState.DONE;
  }

  @Override
  public boolean takenBack() {
    return registry.isTakenBack(Traffic.SERVICE, Traffic.NEW);
  }

  @Override
  public String finalState() {
    return row.state() + " " + row.reason();
  }
}
