package org.acaciapond.config.text;

import java.util.List;
import java.util.PriorityQueue;

/** Collector of the first problems of one file. */
final class ProblemCollector {

  private final String file;

  /** Problems kept, the last one in the order of the text at the head. */
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

  /** Returns how many problems were found but not kept. */
  long omitted() {
    return count - kept.size();
  }
}
