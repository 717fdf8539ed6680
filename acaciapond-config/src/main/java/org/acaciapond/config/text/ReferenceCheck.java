package org.acaciapond.config.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Check of the rules that the schema cannot express: duplicate names, references to services and
 * versions, dependency cycles and times.
 *
 * <p>Values of the wrong type are skipped, since {@link StructureCheck} reports them.
 */
final class ReferenceCheck {

  private static final Instant EARLIEST_ROLLOUT_END = Instant.parse("2020-01-01T00:00:00Z");
  private static final Instant LATEST_ROLLOUT_END = Instant.parse("2100-01-01T00:00:00Z");

  private final PositionedTree tree;
  private final ProblemCollector problems;

  private ReferenceCheck(PositionedTree tree, ProblemCollector problems) {
    this.tree = tree;
    this.problems = problems;
  }

  /** Reports all problems of a tree. */
  static void check(PositionedTree tree, ProblemCollector problems) {
    new ReferenceCheck(tree, problems).checkServices();
  }

  private void checkServices() {
    List<TextValue> names = findValues("/services", "/name");
    reportDuplicates(names, Rule.DUPLICATE_SERVICE, "service");
    Set<String> known = new HashSet<>(toStrings(names));
    Map<String, List<TextValue>> dependencies = new LinkedHashMap<>();
    int count = tree.root().path("services").size();
    for (int i = 0; i < count; i++) {
      String pointer = "/services/" + i;
      String name = findValue(pointer + "/name").map(TextValue::value).orElse("");
      List<TextValue> resolved = checkDependencies(pointer, name, known);
      dependencies.putIfAbsent(name, resolved);
      checkVersions(pointer, name);
    }
    new DependencyCycleCheck(dependencies, this::report).run();
  }

  /** Checks the dependencies of a service and returns those that name another service. */
  private List<TextValue> checkDependencies(String pointer, String name, Set<String> known) {
    List<TextValue> dependencies = findValues(pointer + "/depends_on", "");
    reportDuplicates(dependencies, Rule.DUPLICATE_DEPENDENCY, "dependency");
    List<TextValue> resolved = new ArrayList<>();
    for (TextValue dependency : dependencies) {
      if (dependency.value().equals(name)) {
        report(dependency, Rule.SELF_DEPENDENCY, "service \"" + name + "\" depends on itself");
      } else if (!known.contains(dependency.value())) {
        report(
            dependency, Rule.UNKNOWN_DEPENDENCY, "there is no service " + quote(dependency.value));
      } else {
        resolved.add(dependency);
      }
    }
    return resolved;
  }

  private void checkVersions(String pointer, String name) {
    List<TextValue> versions = findValues(pointer + "/versions", "/name");
    reportDuplicates(versions, Rule.DUPLICATE_VERSION, "version");
    List<TextValue> paths = findValues(pointer + "/routes", "/path");
    reportDuplicates(paths, Rule.DUPLICATE_ROUTE, "route");
    Set<String> known = new HashSet<>(toStrings(versions));
    Optional<TextValue> current = findValue(pointer + "/current_version");
    current.ifPresent(
        version ->
            checkVersionListed(version, known, Rule.CURRENT_VERSION_ABSENT, "current version"));
    findValues(pointer + "/routes", "/version")
        .forEach(
            version -> checkVersionListed(version, known, Rule.PIN_TO_ABSENT_VERSION, "version"));
    Optional<TextValue> newVersion = findValue(pointer + "/move/to_version");
    newVersion.ifPresent(
        version -> checkVersionListed(version, known, Rule.MOVE_TO_ABSENT_VERSION, "version"));
    newVersion
        .filter(version -> current.isPresent() && current.get().value().equals(version.value()))
        .ifPresent(
            version ->
                report(
                    version,
                    Rule.MOVE_TO_CURRENT_VERSION,
                    "%s is already the current version of service \"%s\""
                        .formatted(quote(version.value()), name)));
    findValue(pointer + "/move/by").ifPresent(this::checkTime);
  }

  private void checkVersionListed(TextValue version, Set<String> known, Rule rule, String what) {
    if (!known.contains(version.value())) {
      report(version, rule, "the %s %s is not listed in versions".formatted(what, quote(version)));
    }
  }

  private void checkTime(TextValue time) {
    try {
      Instant by = Instant.parse(time.value());
      if (by.isBefore(EARLIEST_ROLLOUT_END) || by.isAfter(LATEST_ROLLOUT_END)) {
        report(
            time,
            Rule.OUT_OF_BOUNDS,
            "by is %s; it must be from %s to %s"
                .formatted(by, EARLIEST_ROLLOUT_END, LATEST_ROLLOUT_END));
      }
    } catch (DateTimeParseException e) {
      if (FieldHints.isDuration(time.value())) {
        report(
            time,
            Rule.UNIT_MISTAKE,
            "by must be a point in time such as 2030-01-31T18:00:00Z, not a duration");
      } else {
        report(time, Rule.BAD_TIME, quote(time) + " is not a time such as 2030-01-31T18:00:00Z");
      }
    }
  }

  private void reportDuplicates(List<TextValue> values, Rule rule, String what) {
    Set<String> seen = new HashSet<>();
    for (TextValue value : values) {
      if (!seen.add(value.value())) {
        report(value, rule, "the %s %s is given twice".formatted(what, quote(value)));
      }
    }
  }

  private void report(TextValue value, Rule rule, String message) {
    problems.add(tree.valueLocation(value.pointer()), rule, message);
  }

  /** Returns the string values at a pointer suffix below each entry of a list. */
  private List<TextValue> findValues(String list, String suffix) {
    int count = tree.root().at(list).size();
    List<TextValue> found = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      findValue(list + "/" + i + suffix).ifPresent(found::add);
    }
    return found;
  }

  private Optional<TextValue> findValue(String pointer) {
    JsonNode node = tree.root().at(pointer);
    return node.isTextual()
        ? Optional.of(new TextValue(pointer, node.textValue()))
        : Optional.empty();
  }

  private static List<String> toStrings(List<TextValue> values) {
    return values.stream().map(TextValue::value).toList();
  }

  private static String quote(TextValue value) {
    return quote(value.value());
  }

  private static String quote(String value) {
    return "\"" + value + "\"";
  }

  /**
   * String value of the text.
   *
   * @param pointer JSON pointer to the value
   * @param value the string
   */
  record TextValue(String pointer, String value) {}
}
