package org.acaciapond.platform;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kind of fault of a store. */
enum FaultMode {
  /** The store works. */
  NONE,
  /** The store responds with 503 and does not execute the request. */
  DOWN,
  /** The store executes the request after a delay. */
  SLOW,
  /** The store executes the request and closes the connection without a response. */
  LOSE_ANSWERS;

  /** Returns the name in JSON. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the mode with a JSON name. */
  static Optional<FaultMode> ofWireName(String name) {
    return Arrays.stream(values()).filter(mode -> mode.wireName().equals(name)).findFirst();
  }
}
