package org.acaciapond.rollout.state;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.jspecify.annotations.Nullable;

/** Check of an operator's rollout order; a refusal is explained in one sentence. */
public final class RolloutOrderCheck {

  private final RolloutScheduler scheduler;

  /** Creates a check that uses the minimum durations of a scheduler. */
  public RolloutOrderCheck(RolloutScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * Rollout order of an operator.
   *
   * @param service service
   * @param from version that receives the traffic
   * @param to version that is to receive it
   * @param deadline time by which the rollout should be complete
   * @param targets number of announced targets of the new version
   */
  public record Request(String service, String from, String to, Instant deadline, int targets) {}

  /** Returns why a request is refused, or empty if the rollout can start. */
  public Optional<String> findRefusal(
      Request request, @Nullable RolloutRow current, boolean takenBack, Instant now) {
    if (request.from().equals(request.to())) {
      return Optional.of("version " + request.to() + " already has the traffic");
    }
    if (takenBack) {
      return Optional.of("version " + request.to() + " was taken back; start it under a new name");
    }
    if (request.targets() == 0) {
      return Optional.of("version " + request.to() + " has no announced targets");
    }
    if (current != null && isUnfinished(current)) {
      return Optional.of(conflictMessage(current));
    }
    Duration remaining = Duration.between(now, request.deadline());
    Duration minDuration = scheduler.minDuration(request.targets());
    if (remaining.compareTo(minDuration) < 0) {
      return Optional.of(
          "the set time is too short: at least " + minDuration.toSeconds() + " s are needed");
    }
    return Optional.empty();
  }

  private static boolean isUnfinished(RolloutRow row) {
    return row.state() == RolloutState.MOVING || row.state() == RolloutState.LATE;
  }

  private static String conflictMessage(RolloutRow row) {
    return "a move from "
        + row.from()
        + " to "
        + row.to()
        + " is "
        + row.state()
        + " until "
        + row.by()
        + "; take it back first";
  }
}
