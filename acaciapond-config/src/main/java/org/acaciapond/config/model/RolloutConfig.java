package org.acaciapond.config.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.util.Objects;

/**
 * Request to roll out another version of a service.
 *
 * @param toVersion version that is to receive all traffic
 * @param by time by which the rollout should be complete
 */
public record RolloutConfig(@JsonProperty("to_version") String toVersion, Instant by) {

  /** Creates a rollout. */
  public RolloutConfig {
    Objects.requireNonNull(toVersion, "to_version");
    Objects.requireNonNull(by, "by");
  }
}
