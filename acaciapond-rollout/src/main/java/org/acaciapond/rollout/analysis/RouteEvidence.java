package org.acaciapond.rollout.analysis;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Ledgers of all witnesses on one route. */
final class RouteEvidence {

  private static final int MAX_WITNESSES = 512;
  // A witness below this value contradicts the others and may be sick itself.
  private static final double CONTRADICTION_NATS = -8;

  final Baseline baseline = new Baseline();
  private final Map<String, Ledger> ledgers = new LinkedHashMap<>();

  Ledger ledger(String witness, int startPoints) {
    String key = ledgers.size() < MAX_WITNESSES || ledgers.containsKey(witness) ? witness : "";
    return ledgers.computeIfAbsent(key, name -> new Ledger(startPoints));
  }

  Collection<Ledger> all() {
    return ledgers.values();
  }

  int sickLimit(double share) {
    int witnesses = ledgers.size();
    if (share == 0 || witnesses < 2) {
      return 0;
    }
    return Math.max(1, (int) ((witnesses + 1) * share));
  }

  double sum(int mark, int index) {
    double sum = 0;
    for (Ledger ledger : ledgers.values()) {
      sum += ledger.since(mark, index);
    }
    return sum;
  }

  /**
   * Returns the sum without the highest values and without low ones that contradict the rest. Sums
   * below the negligible value are bounded only, which spares the sorting.
   */
  Trimmed trimmed(int mark, int index, int limit, double negligible) {
    double[] values = new double[ledgers.size()];
    int size = 0;
    double most = 0;
    for (Ledger ledger : ledgers.values()) {
      double value = ledger.since(mark, index);
      values[size++] = value;
      most += value < CONTRADICTION_NATS ? 0 : value;
    }
    if (most < negligible) {
      return new Trimmed(most, most);
    }
    Arrays.sort(values);
    double top = 0;
    for (int i = size - limit; i < size; i++) {
      top += Math.max(0, values[i]);
    }
    double contradiction = 0;
    for (int i = 0; i < limit && values[i] < CONTRADICTION_NATS; i++) {
      contradiction += values[i];
    }
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    double kept = sum - contradiction;
    return new Trimmed(kept, kept - top);
  }

  /** Sum of all kept witnesses, and of those without the strongest accusers. */
  record Trimmed(double all, double withoutAccusers) {}
}
