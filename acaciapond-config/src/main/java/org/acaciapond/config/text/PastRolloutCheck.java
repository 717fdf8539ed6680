package org.acaciapond.config.text;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.jspecify.annotations.Nullable;

/**
 * Check that no new rollout has its deadline in the past.
 *
 * <p>A rollout that the current configuration already has may have one, so that a text can be
 * applied again.
 */
public final class PastRolloutCheck {

  private PastRolloutCheck() {}

  /** Returns whether any rollout of a configuration has its deadline in the past. */
  public static boolean hasPastRollout(MeshConfig config, Instant now) {
    return config.services().stream().anyMatch(service -> isPast(service.rollout(), now));
  }

  /**
   * Checks a valid text; the result carries no configuration when there is a problem.
   *
   * @param valid result of the validation
   * @param current current configuration; empty when there is none
   * @param now current time
   * @param fileName file name that the problems carry
   */
  public static ValidationResult check(
      ValidationResult valid, Optional<MeshConfig> current, Instant now, String fileName) {
    ProblemCollector problems = new ProblemCollector(fileName);
    PositionedTree tree = PositionedReader.read(valid.text(), problems).orElseThrow();
    List<ServiceConfig> services = valid.config().orElseThrow().services();
    for (int i = 0; i < services.size(); i++) {
      ServiceConfig service = services.get(i);
      if (isPast(service.rollout(), now) && !isCurrent(service, current)) {
        problems.add(
            tree.valueLocation("/services/" + i + "/move/by"),
            Rule.TIME_IN_PAST,
            "the move of service \"" + service.name() + "\" had to be finished before now, " + now);
      }
    }
    return problems.isEmpty()
        ? valid
        : new ValidationResult(
            Optional.empty(), valid.text(), problems.sorted(), problems.omitted());
  }

  private static boolean isPast(@Nullable RolloutConfig rollout, Instant now) {
    return rollout != null && !rollout.by().isAfter(now);
  }

  private static boolean isCurrent(ServiceConfig service, Optional<MeshConfig> current) {
    return current
        .flatMap(config -> config.service(service.name()))
        .map(ServiceConfig::rollout)
        .filter(rollout -> rollout.equals(service.rollout()))
        .isPresent();
  }
}
