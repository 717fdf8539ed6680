package org.acaciapond.config.text;

import java.util.Comparator;

/**
 * One violation of a rule.
 *
 * @param file name of the file, as the operator gave it
 * @param line line, from 1
 * @param column column, from 1, in UTF-16 units
 * @param rule rule that is violated
 * @param message what is wrong, in one sentence
 */
public record Problem(String file, int line, int column, Rule rule, String message) {

  /** Order of the text; problems at one position are in the order of their rules. */
  static final Comparator<Problem> TEXT_ORDER =
      Comparator.comparingInt(Problem::line)
          .thenComparingInt(Problem::column)
          .thenComparing(Problem::rule)
          .thenComparing(Problem::message);

  /** Returns the form {@code file:line:column: rule: message}, which editors can follow. */
  @Override
  public String toString() {
    return file + ":" + line + ":" + column + ": " + rule.id() + ": " + message;
  }
}
