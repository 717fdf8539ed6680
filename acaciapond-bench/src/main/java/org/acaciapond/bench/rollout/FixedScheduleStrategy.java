package org.acaciapond.bench.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.acaciapond.rollout.evidence.EvidenceSummary;

/** Baseline strategy: ten equal steps until the deadline and a take-back at 5% errors. */
final class FixedScheduleStrategy implements Strategy {

  private static final int STEPS = 10;
  private static final int WINDOW_SECONDS = 10;
  private static final int MIN_CALLS = 20;
  private static final double MAX_ERROR_SHARE = 0.05;

  private final RolloutCase test;
  private final Deque<long[]> window = new ArrayDeque<>();
  private int step = 1;
  private boolean takenBack;

  FixedScheduleStrategy(RolloutCase test) {
    this.test = test;
  }

  @Override
  public void advance(int second, List<EvidenceSummary> received, long newCalls, long newErrors) {
    step = Math.min(STEPS, 1 + (int) (second / test.deadlineSeconds() * STEPS));
    window.add(new long[] {newCalls, newErrors});
    if (window.size() > WINDOW_SECONDS) {
      window.remove();
    }
    long calls = window.stream().mapToLong(counts -> counts[0]).sum();
    long errors = window.stream().mapToLong(counts -> counts[1]).sum();
    takenBack |= calls >= MIN_CALLS && errors > MAX_ERROR_SHARE * calls;
  }

  @Override
  public double share() {
    return takenBack ? 0 : (double) step / STEPS;
  }

  @Override
  public int targets() {
    return test.targets();
  }

  @Override
  public long grantNumber() {
    return step;
  }

  @Override
  public boolean completed() {
    return step == STEPS;
  }

  @Override
  public boolean takenBack() {
    return takenBack;
  }

  @Override
  public String finalState() {
    return takenBack ? "error threshold" : "step " + step;
  }
}
