package org.acaciapond.rollout.analysis;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Scores of all reporters on one route. */
final class RouteEvidence {

  private static final int MAX_REPORTERS = 512;
  // A reporter below this value contradicts the others and may be unhealthy itself.
  private static final double CONTRADICTION_NATS = -8;

  final Baseline baseline = new Baseline();
  private final Map<String, ReporterScores> reporters = new LinkedHashMap<>();

  ReporterScores scoresOf(String reporter, int startPoints) {
    String key =
        reporters.size() < MAX_REPORTERS || reporters.containsKey(reporter) ? reporter : "";
    return reporters.computeIfAbsent(key, name -> new ReporterScores(startPoints));
  }

  Collection<ReporterScores> allScores() {
    return reporters.values();
  }

  int maxUnhealthy(double share) {
    int reporterCount = reporters.size();
    if (share == 0 || reporterCount < 2) {
      return 0;
    }
    return Math.max(1, (int) ((reporterCount + 1) * share));
  }

  double sumSince(int startPoint, int index) {
    double sum = 0;
    for (ReporterScores scores : reporters.values()) {
      sum += scores.scoreSince(startPoint, index);
    }
    return sum;
  }

  /**
   * Returns the sum without the highest values and without low values that contradict the rest. If
   * an upper bound of the sum is below the negligible value, the bound is returned instead, which
   * avoids sorting.
   */
  TrimmedSum trimmedSum(int startPoint, int index, int unhealthyLimit, double negligible) {
    double[] values = new double[reporters.size()];
    int size = 0;
    double upperBound = 0;
    for (ReporterScores scores : reporters.values()) {
      double value = scores.scoreSince(startPoint, index);
      values[size++] = value;
      upperBound += value < CONTRADICTION_NATS ? 0 : value;
    }
    if (upperBound < negligible) {
      return new TrimmedSum(upperBound, upperBound);
    }
    Arrays.sort(values);
    double top = 0;
    for (int i = size - unhealthyLimit; i < size; i++) {
      top += Math.max(0, values[i]);
    }
    double contradiction = 0;
    for (int i = 0; i < unhealthyLimit && values[i] < CONTRADICTION_NATS; i++) {
      contradiction += values[i];
    }
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    double kept = sum - contradiction;
    return new TrimmedSum(kept, kept - top);
  }

  /** Sum over all reporters that were kept, and over those without the strongest ones. */
  record TrimmedSum(double all, double withoutStrongest) {}
}
