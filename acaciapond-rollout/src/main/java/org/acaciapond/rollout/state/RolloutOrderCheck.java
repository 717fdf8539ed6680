package org.acaciapond.rollout.state;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.acaciapond.rollout.schedule.RolloutScheduler;
import org.jspecify.annotations.Nullable;

/** Check of an operator's request for a rollout; the answer is one plain sentence. */
public final class RolloutOrderCheck {

  private final RolloutScheduler pacer;

  /** Creates a check. */
  public RolloutOrderCheck(RolloutScheduler pacer) {
    this.pacer = pacer;
  }

  /**
   * Request of an operator.
   *
   * @param service service
   * @param from version that has the traffic
   * @param to version that is to get it
   * @param by set time
   * @param targets number of announced targets of the new version
   */
  public record Request(String service, String from, String to, Instant by, int targets) {}

  /** Returns why a request is refused, or nothing if it can start. */
  public Optional<String> refusal(
      Request request, @Nullable RolloutRow present, boolean takenBack, Instant now) {
    if (request.from().equals(request.to())) {
      return Optional.of("version " + request.to() + " already has the traffic");
    }
    if (takenBack) {
      return Optional.of("version " + request.to() + " was taken back; start it under a new name");
    }
    if (request.targets() == 0) {
      return Optional.of("version " + request.to() + " has no announced targets");
    }
    if (present != null && unfinished(present)) {
      return Optional.of(conflict(present));
    }
    Duration time = Duration.between(now, request.by());
    Duration shortest = pacer.shortest(request.targets());
    if (time.compareTo(shortest) < 0) {
      return Optional.of(
          "the set time is too short: at least " + shortest.toSeconds() + " s are needed");
    }
    return Optional.empty();
  }

  private static boolean unfinished(RolloutRow row) {
    return row.state() == RolloutState.MOVING || row.state() == RolloutState.LATE;
  }

  private static String conflict(RolloutRow row) {
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
