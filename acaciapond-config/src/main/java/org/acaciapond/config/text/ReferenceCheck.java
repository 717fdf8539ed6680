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
 * Check of names against one another: duplicates, dependencies, versions and times.
 *
 * <p>Parts of the wrong type are passed over, since {@link StructureCheck} reports them.
 */
final class ReferenceCheck {

  private static final Instant EARLIEST_MOVE = Instant.parse("2020-01-01T00:00:00Z");
  private static final Instant LATEST_MOVE = Instant.parse("2100-01-01T00:00:00Z");

  private final PositionedTree tree;
  private final ProblemCollector problems;

  private ReferenceCheck(PositionedTree tree, ProblemCollector problems) {
    this.tree = tree;
    this.problems = problems;
  }

  /** Reports every reference that leads nowhere and every duplicate. */
  static void check(PositionedTree tree, ProblemCollector problems) {
    new ReferenceCheck(tree, problems).checkServices();
  }

  private void checkServices() {
    List<Text> names = texts("/services", "/name");
    reportDuplicates(names, Rule.DUPLICATE_SERVICE, "service");
    Set<String> known = new HashSet<>(values(names));
    Map<String, List<Text>> dependencies = new LinkedHashMap<>();
    int count = tree.root().path("services").size();
    for (int i = 0; i < count; i++) {
      String pointer = "/services/" + i;
      String name = text(pointer + "/name").map(Text::value).orElse("");
      List<Text> sound = checkDependencies(pointer, name, known);
      dependencies.putIfAbsent(name, sound);
      checkVersions(pointer, name);
    }
    new DependencyCycleCheck(dependencies, this::report).run();
  }

  /** Returns the dependencies that name another service of the text. */
  private List<Text> checkDependencies(String pointer, String name, Set<String> known) {
    List<Text> dependencies = texts(pointer + "/depends_on", "");
    reportDuplicates(dependencies, Rule.DUPLICATE_DEPENDENCY, "dependency");
    List<Text> sound = new ArrayList<>();
    for (Text dependency : dependencies) {
      if (dependency.value().equals(name)) {
        report(dependency, Rule.SELF_DEPENDENCY, "service \"" + name + "\" depends on itself");
      } else if (!known.contains(dependency.value())) {
        report(
            dependency, Rule.UNKNOWN_DEPENDENCY, "there is no service " + quoted(dependency.value));
      } else {
        sound.add(dependency);
      }
    }
    return sound;
  }

  private void checkVersions(String pointer, String name) {
    List<Text> versions = texts(pointer + "/versions", "/name");
    reportDuplicates(versions, Rule.DUPLICATE_VERSION, "version");
    List<Text> paths = texts(pointer + "/routes", "/path");
    reportDuplicates(paths, Rule.DUPLICATE_ROUTE, "route");
    Set<String> known = new HashSet<>(values(versions));
    Optional<Text> current = text(pointer + "/current_version");
    current.ifPresent(
        version -> checkListed(version, known, Rule.CURRENT_VERSION_ABSENT, "current version"));
    texts(pointer + "/routes", "/version")
        .forEach(version -> checkListed(version, known, Rule.PIN_TO_ABSENT_VERSION, "version"));
    Optional<Text> target = text(pointer + "/move/to_version");
    target.ifPresent(
        version -> checkListed(version, known, Rule.MOVE_TO_ABSENT_VERSION, "version"));
    target
        .filter(version -> current.isPresent() && current.get().value().equals(version.value()))
        .ifPresent(
            version ->
                report(
                    version,
                    Rule.MOVE_TO_CURRENT_VERSION,
                    "%s is already the current version of service \"%s\""
                        .formatted(quoted(version.value()), name)));
    text(pointer + "/move/by").ifPresent(this::checkTime);
  }

  private void checkListed(Text version, Set<String> known, Rule rule, String what) {
    if (!known.contains(version.value())) {
      report(version, rule, "the %s %s is not listed in versions".formatted(what, quoted(version)));
    }
  }

  private void checkTime(Text time) {
    try {
      Instant by = Instant.parse(time.value());
      if (by.isBefore(EARLIEST_MOVE) || by.isAfter(LATEST_MOVE)) {
        report(
            time,
            Rule.OUT_OF_BOUNDS,
            "by is %s; it must be from %s to %s".formatted(by, EARLIEST_MOVE, LATEST_MOVE));
      }
    } catch (DateTimeParseException e) {
      if (FieldHints.isDuration(time.value())) {
        report(
            time,
            Rule.UNIT_MISTAKE,
            "by must be a point in time such as 2030-01-31T18:00:00Z, not a duration");
      } else {
        report(time, Rule.BAD_TIME, quoted(time) + " is not a time such as 2030-01-31T18:00:00Z");
      }
    }
  }

  private void reportDuplicates(List<Text> texts, Rule rule, String what) {
    Set<String> seen = new HashSet<>();
    for (Text text : texts) {
      if (!seen.add(text.value())) {
        report(text, rule, "the %s %s is given twice".formatted(what, quoted(text)));
      }
    }
  }

  private void report(Text text, Rule rule, String message) {
    problems.add(tree.valueAt(text.pointer()), rule, message);
  }

  /** Returns the strings at a suffix below each entry of a list. */
  private List<Text> texts(String list, String suffix) {
    int count = tree.root().at(list).size();
    List<Text> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      text(list + "/" + i + suffix).ifPresent(texts::add);
    }
    return texts;
  }

  private Optional<Text> text(String pointer) {
    JsonNode node = tree.root().at(pointer);
    return node.isTextual() ? Optional.of(new Text(pointer, node.textValue())) : Optional.empty();
  }

  private static List<String> values(List<Text> texts) {
    return texts.stream().map(Text::value).toList();
  }

  private static String quoted(Text text) {
    return quoted(text.value());
  }

  private static String quoted(String value) {
    return "\"" + value + "\"";
  }

  /**
   * String of the text.
   *
   * @param pointer where it is
   * @param value its value
   */
  record Text(String pointer, String value) {}
}
