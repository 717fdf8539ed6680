package org.acaciapond.config.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.util.Objects;

/**
 * Request to move the traffic of a service to another version.
 *
 * @param toVersion version that is to take over
 * @param by time by which the move should be complete
 */
public record RolloutConfig(@JsonProperty("to_version") String toVersion, Instant by) {

  /** Creates a move. */
  public RolloutConfig {
    Objects.requireNonNull(toVersion, "to_version");
    Objects.requireNonNull(by, "by");
  }
}
