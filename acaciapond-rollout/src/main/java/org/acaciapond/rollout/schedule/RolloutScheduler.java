package org.acaciapond.rollout.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.acaciapond.rollout.analysis.AnalysisResult;

/**
 * Decides when the next step of a rollout is due. Finishing before the set time gains nothing, so
 * the time is spent where a bad version does least harm: at the small share.
 */
public final class RolloutScheduler {

  private static final Duration SHORTEST_DWELL = Duration.ofMillis(1500);
  private static final double COLD_SHARE_OF_TIME = 0.03;
  private static final double HALF = 0.5;

  private final ScheduleSettings settings;

  /** Creates a pacer. */
  public RolloutScheduler(ScheduleSettings settings) {
    this.settings = settings;
  }

  /**
   * Position of a rollout in its time.
   *
   * @param started start of the rollout
   * @param by set time
   * @param raised when the present share was granted
   * @param share present share
   * @param targets number of targets of the new version
   */
  public record Position(Instant started, Instant by, Instant raised, double share, int targets) {}

  /**
   * Answer of the pacer.
   *
   * @param next share to grant now, equal to the present one when none is due
   * @param raise whether a raise is due and allowed
   * @param complete whether the last step is reached
   * @param obstacle what holds a due raise back, empty if nothing
   */
  public record Advice(RolloutStep next, boolean raise, boolean complete, String obstacle) {}

  /** Returns what to do now. */
  public Advice advise(Position position, Instant now, AnalysisResult verdict) {
    List<RolloutStep> steps = RolloutSteps.steps(settings, position.targets());
    int index = indexOf(steps, position.share());
    boolean complete = index == steps.size() - 1;
    RolloutStep present = index < 0 ? new RolloutStep(0, 0) : steps.get(index);
    if (complete || now.isBefore(due(steps, index, position))) {
      return new Advice(present, false, complete, "");
    }
    RolloutStep next = steps.get(index + 1);
    String obstacle = obstacle(next, verdict);
    boolean raise = obstacle.isEmpty();
    return new Advice(raise ? next : present, raise, false, obstacle);
  }

  /** Returns the least time in which a version with this many targets can be completed. */
  public Duration shortest(int targets) {
    int raises = RolloutSteps.steps(settings, targets).size();
    double parts = settings.completeAt() - settings.smallUntil();
    return SHORTEST_DWELL.multipliedBy((long) Math.ceil(raises / parts));
  }

  private static int indexOf(List<RolloutStep> steps, double share) {
    int index = -1;
    while (index + 1 < steps.size() && steps.get(index + 1).share() <= share + 1e-9) {
      index++;
    }
    return index;
  }

  private Instant due(List<RolloutStep> steps, int index, Position position) {
    double time = millis(position.started(), position.by());
    if (index < 0) {
      return position.started();
    }
    if (index == 0) {
      return position.raised().plusMillis((long) (time * COLD_SHARE_OF_TIME));
    }
    if (steps.get(index).share() <= settings.smallShare()) {
      return position.started().plusMillis((long) (time * settings.smallUntil()));
    }
    Instant last = position.started().plusMillis((long) (time * settings.completeAt()));
    int raises = steps.size() - 1 - index;
    double dwell = millis(position.raised(), last) / raises;
    return position.raised().plus(longer(SHORTEST_DWELL, Duration.ofMillis((long) dwell)));
  }

  private static double millis(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  private String obstacle(RolloutStep next, AnalysisResult verdict) {
    if (next.share() <= settings.smallShare()) {
      return "";
    }
    if (verdict.suspicious()) {
      return "not proved good: signs of " + verdict.reason();
    }
    int needed = next.share() >= HALF ? settings.minCallsHalf() : settings.minCalls();
    if (verdict.newCalls() < needed) {
      return "too few calls to judge: " + verdict.newCalls() + " of " + needed;
    }
    return "";
  }
}
