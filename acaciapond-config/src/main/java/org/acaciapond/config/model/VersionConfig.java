package org.acaciapond.config.model;

import java.util.Objects;

/**
 * Version of a service that its targets may run.
 *
 * @param name version name, as announced by targets
 */
public record VersionConfig(String name) {

  /** Creates a version. */
  public VersionConfig {
    Objects.requireNonNull(name, "name");
  }
}
