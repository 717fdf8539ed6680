package org.acaciapond.config.text;

import java.util.ArrayList;
import java.util.List;

/** Collector of the problems of one file. */
final class ProblemCollector {

  private final String file;
  private final List<Problem> problems = new ArrayList<>();

  ProblemCollector(String file) {
    this.file = file;
  }

  void add(TextLocation location, Rule rule, String message) {
    problems.add(new Problem(file, location.line(), location.column(), rule, message));
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  List<Problem> sorted() {
    return problems.stream().sorted(Problem.TEXT_ORDER).toList();
  }
}
