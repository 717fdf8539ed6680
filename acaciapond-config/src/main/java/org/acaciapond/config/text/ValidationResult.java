package org.acaciapond.config.text;

import java.util.List;
import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;

/**
 * Result of a validation.
 *
 * @param config the configuration; empty when there is a problem
 * @param text the decoded text; empty when the bytes are not a text
 * @param problems first problems, in the order of the text
 * @param omitted how many problems there are besides them
 */
public record ValidationResult(
    Optional<MeshConfig> config, String text, List<Problem> problems, long omitted) {

  /** Creates a result. */
  public ValidationResult {
    problems = List.copyOf(problems);
  }

  /** Returns whether the text breaks no rule. */
  public boolean valid() {
    return problems.isEmpty();
  }
}
