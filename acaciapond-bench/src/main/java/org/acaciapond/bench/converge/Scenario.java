package org.acaciapond.bench.converge;

import java.util.Arrays;
import java.util.Locale;

/** What happens during the experiment. */
enum Scenario {
  /** Only edits. */
  EDITS,
  /** All nodes of one domain, then all nodes, crash at once and start again together. */
  MASS_RESTART,
  /** The platform is down while some nodes restart; edits are accepted again after it. */
  PLATFORM_OUTAGE;

  /** Returns the scenario of a name on the command line. */
  static Scenario ofName(String name) {
    return Arrays.stream(values())
        .filter(scenario -> scenario.optionName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown scenario: " + name));
  }

  String optionName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
