package org.acaciapond.config.model;

import java.util.Objects;

/**
 * One version of the targets of a service.
 *
 * @param name name that targets announce
 */
public record VersionConfig(String name) {

  /** Creates a version. */
  public VersionConfig {
    Objects.requireNonNull(name, "name");
  }
}
