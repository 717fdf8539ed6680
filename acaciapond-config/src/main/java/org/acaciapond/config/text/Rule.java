package org.acaciapond.config.text;

import java.util.Locale;

/** Rules of the configuration text. Their IDs are stable, so scripts can match them. */
public enum Rule {
  /** The file cannot be read. */
  FILE_UNREADABLE,
  /** The text is larger than {@link ConfigTextValidator#MAX_TEXT_BYTES}. */
  TEXT_TOO_LARGE,
  /** The text starts with a byte order mark. */
  BYTE_ORDER_MARK,
  /** The bytes are not UTF-8. */
  NOT_UTF8,
  /** The text is not JSON. */
  SYNTAX,
  /** Something follows the JSON value. */
  TRAILING_TEXT,
  /** Objects and arrays are nested deeper than {@link ConfigTextValidator#MAX_DEPTH}. */
  NESTING_TOO_DEEP,
  /** An object has the same field twice. */
  DUPLICATE_FIELD,
  /** A required field is absent. */
  MISSING_FIELD,
  /** The schema has no such field. */
  UNKNOWN_FIELD,
  /** A field name or value is in another unit than the schema's. */
  UNIT_MISTAKE,
  /** A value has the wrong JSON type. */
  WRONG_TYPE,
  /** A value is outside its bounds. */
  OUT_OF_BOUNDS,
  /** A list that needs at least one entry is empty. */
  EMPTY_LIST,
  /** A name has an invalid character or length. */
  BAD_NAME,
  /** A path has an invalid character or length. */
  BAD_PATH,
  /** A time is not an RFC 3339 time. */
  BAD_TIME,
  /** Two services have the same name. */
  DUPLICATE_SERVICE,
  /** A service lists a version twice. */
  DUPLICATE_VERSION,
  /** A service has two routes with the same path. */
  DUPLICATE_ROUTE,
  /** A service lists a dependency twice. */
  DUPLICATE_DEPENDENCY,
  /** A dependency names a service that the text lacks. */
  UNKNOWN_DEPENDENCY,
  /** A service depends on itself. */
  SELF_DEPENDENCY,
  /** Services depend on each other in a cycle. */
  DEPENDENCY_CYCLE,
  /** A route is pinned to a version that its service does not list. */
  PIN_TO_ABSENT_VERSION,
  /** The current version is not listed by its service. */
  CURRENT_VERSION_ABSENT,
  /** A rollout leads to a version that its service does not list. */
  MOVE_TO_ABSENT_VERSION,
  /** A rollout leads to the current version of its service. */
  MOVE_TO_CURRENT_VERSION,
  /** A rollout that the current configuration lacks has its deadline in the past. */
  TIME_IN_PAST;

  /** Returns the stable ID, for example {@code unknown-field}. */
  public String id() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
