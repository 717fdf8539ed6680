package org.acaciapond.config.text;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;
import org.acaciapond.config.model.RolloutConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.jspecify.annotations.Nullable;

/**
 * Check that no new move has a set time in the past.
 *
 * <p>A move that is in force already may have one, so that a text can be applied again.
 */
public final class PastRolloutCheck {

  private PastRolloutCheck() {}

  /** Returns whether any move of a configuration has a set time in the past. */
  public static boolean hasPastMove(MeshConfig config, Instant now) {
    return config.services().stream().anyMatch(service -> isPast(service.move(), now));
  }

  /**
   * Checks a valid text.
   *
   * @param valid result of the validation
   * @param inForce configuration in force; empty when there is none
   * @param fileName name of the file, for the problems
   */
  public static ValidationResult check(
      ValidationResult valid, Optional<MeshConfig> inForce, Instant now, String fileName) {
    ProblemCollector problems = new ProblemCollector(fileName);
    PositionedTree tree = PositionedReader.read(valid.text(), problems).orElseThrow();
    List<ServiceConfig> services = valid.config().orElseThrow().services();
    for (int i = 0; i < services.size(); i++) {
      ServiceConfig service = services.get(i);
      if (isPast(service.move(), now) && !isInForce(service, inForce)) {
        problems.add(
            tree.valueAt("/services/" + i + "/move/by"),
            Rule.TIME_IN_PAST,
            "the move of service \"" + service.name() + "\" had to be finished before now, " + now);
      }
    }
    return problems.isEmpty()
        ? valid
        : new ValidationResult(
            Optional.empty(), valid.text(), problems.sorted(), problems.omitted());
  }

  private static boolean isPast(@Nullable RolloutConfig move, Instant now) {
    return move != null && !move.by().isAfter(now);
  }

  private static boolean isInForce(ServiceConfig service, Optional<MeshConfig> inForce) {
    return inForce
        .flatMap(config -> config.service(service.name()))
        .map(ServiceConfig::move)
        .filter(move -> move.equals(service.move()))
        .isPresent();
  }
}
