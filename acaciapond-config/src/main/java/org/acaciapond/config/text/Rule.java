package org.acaciapond.config.text;

import java.util.Locale;

/** Rules of the configuration text; the identifiers are stable and safe to match in scripts. */
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
  /** A list that needs an entry has none. */
  EMPTY_LIST,
  /** A name has a wrong character or length. */
  BAD_NAME,
  /** A path has a wrong character or length. */
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
  /** A dependency is not a service of the text. */
  UNKNOWN_DEPENDENCY,
  /** A service depends on itself. */
  SELF_DEPENDENCY,
  /** Services depend on one another in a circle. */
  DEPENDENCY_CYCLE,
  /** A route is pinned to a version that its service does not list. */
  PIN_TO_ABSENT_VERSION,
  /** The current version is not listed. */
  CURRENT_VERSION_ABSENT,
  /** A move goes to a version that is not listed. */
  MOVE_TO_ABSENT_VERSION,
  /** A move goes to the current version. */
  MOVE_TO_CURRENT_VERSION,
  /** A move that is not in force yet has a set time in the past. */
  TIME_IN_PAST;

  /** Returns the stable identifier, for example {@code unknown-field}. */
  public String id() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
