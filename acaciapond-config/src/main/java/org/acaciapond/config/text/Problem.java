package org.acaciapond.config.text;

import java.util.Comparator;

/**
 * One violation of a rule.
 *
 * @param file file name, as given by the operator
 * @param line line number, from 1
 * @param column column number, from 1, in UTF-16 code units
 * @param rule rule that is violated
 * @param message description of the violation, in one sentence
 */
public record Problem(String file, int line, int column, Rule rule, String message) {

  /** Orders problems by position, then by rule. */
  static final Comparator<Problem> TEXT_ORDER =
      Comparator.comparingInt(Problem::line)
          .thenComparingInt(Problem::column)
          .thenComparing(Problem::rule)
          .thenComparing(Problem::message);

  /**
   * Returns {@code file:line:column: rule: message}, a form that editors recognize as a location.
   */
  @Override
  public String toString() {
    return file + ":" + line + ":" + column + ": " + rule.id() + ": " + message;
  }
}
