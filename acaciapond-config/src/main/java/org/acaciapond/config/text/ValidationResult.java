package org.acaciapond.config.text;

import java.util.List;
import java.util.Optional;
import org.acaciapond.config.model.MeshConfig;

/**
 * Result of the validation of a text.
 *
 * @param config the configuration; empty when there is a problem
 * @param text the decoded text; empty when the bytes cannot be decoded
 * @param problems first problems, in the order of the text
 * @param omitted number of problems found besides these
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
