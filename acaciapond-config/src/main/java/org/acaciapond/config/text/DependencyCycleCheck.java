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
 * Check for cycles in the dependencies between services.
 *
 * <p>A cycle is refused because a call could then hold a slot of a service while it waits for
 * another slot of the same service: at full load all slots would wait for each other until the
 * deadline. The depth-first search is iterative, since a recursive one overflows the stack on a
 * long chain of dependencies.
 */
final class DependencyCycleCheck {

  private static final int MAX_SERVICES_SHOWN = 10;

  private final Map<String, List<ReferenceCheck.TextValue>> dependencies;
  private final Reporter reporter;
  private final Set<String> finished = new HashSet<>();
  private final Map<String, Iterator<ReferenceCheck.TextValue>> remaining = new HashMap<>();
  private final Deque<String> path = new ArrayDeque<>();

  DependencyCycleCheck(
      Map<String, List<ReferenceCheck.TextValue>> dependencies, Reporter reporter) {
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
      Iterator<ReferenceCheck.TextValue> unvisited =
          remaining.getOrDefault(service, List.<ReferenceCheck.TextValue>of().iterator());
      if (unvisited.hasNext()) {
        visit(unvisited.next());
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

  private void visit(ReferenceCheck.TextValue dependency) {
    if (remaining.containsKey(dependency.value())) {
      reporter.report(
          dependency,
          Rule.DEPENDENCY_CYCLE,
          "dependency cycle: " + describeCycle(dependency.value()));
    } else {
      enter(dependency.value());
    }
  }

  private String describeCycle(String first) {
    List<String> members = path.stream().dropWhile(name -> !name.equals(first)).toList();
    String shown =
        String.join(" -> ", members.subList(0, Math.min(MAX_SERVICES_SHOWN, members.size())));
    String rest =
        members.size() > MAX_SERVICES_SHOWN
            ? " -> (" + (members.size() - MAX_SERVICES_SHOWN) + " more)"
            : "";
    return shown + rest + " -> " + first;
  }

  /** Callback that receives the problems found. */
  @FunctionalInterface
  interface Reporter {

    /** Reports a problem at a string value of the text. */
    void report(ReferenceCheck.TextValue value, Rule rule, String message);
  }
}
