package org.acaciapond.config.text;

import java.util.List;
import java.util.PriorityQueue;

/** Collector of the problems of one file, which keeps only the first in the order of the text. */
final class ProblemCollector {

  private final String file;

  /** Problems kept; the head is the last of them in the order of the text, removed first. */
  private final PriorityQueue<Problem> kept = new PriorityQueue<>(Problem.TEXT_ORDER.reversed());

  private long count;

  ProblemCollector(String file) {
    this.file = file;
  }

  void add(TextLocation location, Rule rule, String message) {
    count++;
    kept.add(new Problem(file, location.line(), location.column(), rule, message));
    if (kept.size() > ConfigTextValidator.MAX_PROBLEMS) {
      kept.remove();
    }
  }

  boolean isEmpty() {
    return count == 0;
  }

  List<Problem> sorted() {
    return kept.stream().sorted(Problem.TEXT_ORDER).toList();
  }

  /** Returns the number of problems that were found but not kept. */
  long omitted() {
    return count - kept.size();
  }
}
