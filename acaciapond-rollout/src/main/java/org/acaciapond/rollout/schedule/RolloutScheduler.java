package org.acaciapond.rollout.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;

/**
 * Scheduler that decides when the next step of a rollout is due. Completion before the deadline has
 * no benefit, so most of the time is spent at the small share, where a bad version does least harm.
 */
public final class RolloutScheduler {

  private static final Duration MIN_STEP_DURATION = Duration.ofMillis(1500);
  private static final double WARMUP_TIME_FRACTION = 0.03;
  private static final double HALF_SHARE = 0.5;

  private final ScheduleSettings settings;

  /** Creates a scheduler. */
  public RolloutScheduler(ScheduleSettings settings) {
    this.settings = settings;
  }

  /**
   * Progress of a rollout.
   *
   * @param startedAt time at which the rollout started
   * @param deadline time by which the rollout should be complete
   * @param raisedAt time at which the current share was granted
   * @param share current share
   * @param targets number of targets of the new version
   */
  public record Progress(
      Instant startedAt, Instant deadline, Instant raisedAt, double share, int targets) {}

  /**
   * Advice of the scheduler.
   *
   * @param next step to grant now, equal to the current one if no raise is due
   * @param raise whether a raise is due and allowed
   * @param complete whether the last step is reached
   * @param holdReason why a due raise is not allowed, empty if nothing prevents it
   */
  public record Advice(RolloutStep next, boolean raise, boolean complete, String holdReason) {}

  /** Returns whether the share is to be raised now, and to which step. */
  public Advice advise(Progress progress, Instant now, AnalysisResult result) {
    List<RolloutStep> steps = RolloutSteps.steps(settings, progress.targets());
    int index = indexOf(steps, progress.share());
    boolean complete = index == steps.size() - 1;
    RolloutStep current = index < 0 ? new RolloutStep(0, 0) : steps.get(index);
    if (complete || now.isBefore(dueAt(steps, index, progress))) {
      return new Advice(current, false, complete, "");
    }
    RolloutStep next = steps.get(index + 1);
    String holdReason = findHoldReason(next, result);
    boolean raise = holdReason.isEmpty();
    return new Advice(raise ? next : current, raise, false, holdReason);
  }

  /** Returns the minimum duration of a rollout to this number of targets. */
  public Duration minDuration(int targets) {
    int raises = RolloutSteps.steps(settings, targets).size();
    double raiseTimeFraction = settings.completeTimeFraction() - settings.smallShareTimeFraction();
    return MIN_STEP_DURATION.multipliedBy((long) Math.ceil(raises / raiseTimeFraction));
  }

  private static int indexOf(List<RolloutStep> steps, double share) {
    int index = -1;
    while (index + 1 < steps.size() && steps.get(index + 1).share() <= share + 1e-9) {
      index++;
    }
    return index;
  }

  private Instant dueAt(List<RolloutStep> steps, int index, Progress progress) {
    double totalMillis = millisBetween(progress.startedAt(), progress.deadline());
    if (index < 0) {
      return progress.startedAt();
    }
    if (index == 0) {
      return progress.raisedAt().plusMillis((long) (totalMillis * WARMUP_TIME_FRACTION));
    }
    if (steps.get(index).share() <= settings.smallShare()) {
      return progress
          .startedAt()
          .plusMillis((long) (totalMillis * settings.smallShareTimeFraction()));
    }
    Instant lastRaise =
        progress.startedAt().plusMillis((long) (totalMillis * settings.completeTimeFraction()));
    int raises = steps.size() - 1 - index;
    double stepMillis = millisBetween(progress.raisedAt(), lastRaise) / raises;
    return progress.raisedAt().plus(max(MIN_STEP_DURATION, Duration.ofMillis((long) stepMillis)));
  }

  private static double millisBetween(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) > 0 ? first : second;
  }

  private String findHoldReason(RolloutStep next, AnalysisResult result) {
    if (next.share() <= settings.smallShare()) {
      return "";
    }
    if (result.suspicious()) {
      return "not proved good: signs of " + result.reason();
    }
    int minCalls = next.share() >= HALF_SHARE ? settings.minCallsForHalf() : settings.minCalls();
    if (result.newCalls() < minCalls) {
      return "too few calls to judge: " + result.newCalls() + " of " + minCalls;
    }
    return "";
  }
}
