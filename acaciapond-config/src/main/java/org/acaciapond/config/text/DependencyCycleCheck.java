package org.acaciapond.config.text;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Search for services that depend on one another in a circle.
 *
 * <p>A cycle is refused because a call then holds a slot of a service while it waits for another
 * slot of the same service: at full load all slots wait for each other until the deadline. The
 * search is iterative, since a text can chain more services than the stack has frames.
 */
final class DependencyCycleCheck {

  private static final int MAX_NAMED = 10;

  private final Map<String, List<ReferenceCheck.Text>> dependencies;
  private final Reporter reporter;
  private final Set<String> finished = new HashSet<>();
  private final Map<String, Iterator<ReferenceCheck.Text>> remaining = new HashMap<>();
  private final Deque<String> path = new ArrayDeque<>();

  DependencyCycleCheck(Map<String, List<ReferenceCheck.Text>> dependencies, Reporter reporter) {
    this.dependencies = dependencies;
    this.reporter = reporter;
  }

  /** Reports each dependency that closes a cycle. */
  void run() {
    dependencies.keySet().forEach(this::search);
  }

  private void search(String start) {
    enter(start);
    while (!path.isEmpty()) {
      String service = path.getLast();
      Iterator<ReferenceCheck.Text> next =
          remaining.getOrDefault(service, List.<ReferenceCheck.Text>of().iterator());
      if (next.hasNext()) {
        visit(next.next());
      } else {
        path.removeLast();
        remaining.remove(service);
        finished.add(service);
      }
    }
  }

  private void enter(String service) {
    if (!finished.contains(service)) {
      path.addLast(service);
      remaining.put(service, dependencies.getOrDefault(service, List.of()).iterator());
    }
  }

  private void visit(ReferenceCheck.Text dependency) {
    if (remaining.containsKey(dependency.value())) {
      reporter.report(
          dependency, Rule.DEPENDENCY_CYCLE, "dependency cycle: " + cycle(dependency.value()));
    } else {
      enter(dependency.value());
    }
  }

  private String cycle(String first) {
    List<String> members = path.stream().dropWhile(name -> !name.equals(first)).toList();
    String shown = String.join(" -> ", members.subList(0, Math.min(MAX_NAMED, members.size())));
    String rest =
        members.size() > MAX_NAMED ? " -> (" + (members.size() - MAX_NAMED) + " more)" : "";
    return shown + rest + " -> " + first;
  }

  /** Receiver of the problems found. */
  @FunctionalInterface
  interface Reporter {

    /** Reports a problem at a string of the text. */
    void report(ReferenceCheck.Text text, Rule rule, String message);
  }
}
