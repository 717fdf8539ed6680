package org.acaciapond.platform;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** How a store misbehaves. */
enum FaultMode {
  /** It works. */
  NONE,
  /** It answers 503 and does nothing. */
  DOWN,
  /** It does its work after a delay. */
  SLOW,
  /** It does its work and closes the connection instead of answering. */
  LOSE_ANSWERS;

  /** Returns the name used in JSON. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the mode with a JSON name. */
  static Optional<FaultMode> ofWireName(String name) {
    return Arrays.stream(values()).filter(mode -> mode.wireName().equals(name)).findFirst();
  }
}
