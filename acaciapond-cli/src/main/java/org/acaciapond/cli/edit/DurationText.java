package org.acaciapond.cli.edit;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;

/** Parser of durations such as {@code 90s}, {@code 10m}, {@code 1h30m} and {@code 2d}. */
public final class DurationText {

  /** Minimum duration; a rollout needs samples of requests before it can raise a share. */
  public static final Duration MIN_DURATION = Duration.ofSeconds(10);

  /** Maximum duration. */
  public static final Duration MAX_DURATION = Duration.ofDays(30);

  private static final Pattern PATTERN =
      Pattern.compile("(?:([0-9]{1,6})d)?(?:([0-9]{1,6})h)?(?:([0-9]{1,6})m)?(?:([0-9]{1,8})s)?");

  private DurationText() {}

  /** Parses a duration from {@link #MIN_DURATION} to {@link #MAX_DURATION}. */
  public static Duration parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (text.isEmpty() || !matcher.matches()) {
      throw invalid("\"" + text + "\" is not a duration such as 90s, 10m, 1h30m or 2d");
    }
    Duration duration =
        Duration.ofDays(parsePart(matcher, 1))
            .plusHours(parsePart(matcher, 2))
            .plusMinutes(parsePart(matcher, 3))
            .plusSeconds(parsePart(matcher, 4));
    if (duration.compareTo(MIN_DURATION) < 0 || duration.compareTo(MAX_DURATION) > 0) {
      throw invalid(text + " is outside the bounds of 10s to 30d");
    }
    return duration;
  }

  private static long parsePart(Matcher matcher, int group) {
    String digits = matcher.group(group);
    return digits == null ? 0 : Long.parseLong(digits);
  }

  private static CliException invalid(String message) {
    return new CliException(CliErrorCode.INVALID_INPUT, "--by: " + message, null);
  }
}
