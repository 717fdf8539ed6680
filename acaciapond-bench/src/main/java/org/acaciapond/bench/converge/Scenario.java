package org.acaciapond.bench.converge;

import java.util.Arrays;
import java.util.Locale;

/** Scenario of the experiment. */
enum Scenario {
  /** Edits only. */
  EDITS,
  /** All nodes of one domain, and later all nodes, crash at once and restart concurrently. */
  MASS_RESTART,
  /** The platform is down while some nodes restart; edits are accepted again afterwards. */
  PLATFORM_OUTAGE;

  /** Returns the scenario with a given name on the command line. */
  static Scenario fromOptionName(String name) {
    return Arrays.stream(values())
        .filter(scenario -> scenario.optionName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown scenario: " + name));
  }

  String optionName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
