package org.acaciapond.config.text;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Hints for a misspelled field or a wrong unit. */
final class FieldHints {

  private static final Map<String, String> UNIT_BY_FIELD =
      Map.of("timeout_ms", "milliseconds", "max_body_bytes", "bytes");
  private static final Pattern UNIT_SUFFIX =
      Pattern.compile(
          "_(ns|us|ms|s|m|h|d|sec|secs|seconds|millis|milliseconds|min|mins|minutes|hours|days"
              + "|b|byte|bytes|k|kb|kib|mb|mib|gb|gib)$");
  private static final Pattern QUANTITY =
      Pattern.compile("[0-9]+([.][0-9]+)? ?[A-Za-z]+", Pattern.CASE_INSENSITIVE);
  private static final Pattern DURATION =
      Pattern.compile("[+-]?(P[0-9TDHMS.]+|([0-9]+ ?[a-z]+ ?)+)", Pattern.CASE_INSENSITIVE);

  private FieldHints() {}

  /** Returns the unit of a field, if it has one. */
  static Optional<String> unitOf(String field) {
    return Optional.ofNullable(UNIT_BY_FIELD.get(field));
  }

  /** Returns the known field that an unknown name spells with another unit or with none. */
  static Optional<String> findWithOtherUnit(String unknown, Collection<String> known) {
    String withoutUnit = removeUnit(unknown);
    return known.stream()
        .filter(UNIT_BY_FIELD::containsKey)
        .filter(field -> removeUnit(field).equals(withoutUnit))
        .findFirst();
  }

  /** Returns the known field that differs from an unknown name only in case or separators. */
  static Optional<String> findWithOtherSpelling(String unknown, Collection<String> known) {
    String normalized = normalize(unknown);
    return known.stream().filter(field -> normalize(field).equals(normalized)).findFirst();
  }

  /** Returns whether a string is a number with a unit, such as {@code 5s}. */
  static boolean isQuantity(String value) {
    return QUANTITY.matcher(value).matches();
  }

  /** Returns whether a string is a duration, such as {@code 10m} or {@code PT10M}. */
  static boolean isDuration(String value) {
    return DURATION.matcher(value).matches();
  }

  private static String removeUnit(String field) {
    String snake = field.replaceAll("([a-z0-9])([A-Z])", "$1_$2").replace('-', '_');
    return UNIT_SUFFIX.matcher(snake.toLowerCase(Locale.ROOT)).replaceFirst("");
  }

  private static String normalize(String field) {
    return field.toLowerCase(Locale.ROOT).replace("_", "").replace("-", "");
  }
}
