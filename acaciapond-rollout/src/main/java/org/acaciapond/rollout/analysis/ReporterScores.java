package org.acaciapond.rollout.analysis;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Scores of one reporter on one route: totals now and at each start point of the test. */
final class ReporterScores {

  final double[] totals = new double[Scores.VECTOR_LENGTH];
  final List<double[]> startPointTotals = new ArrayList<>();
  final Baseline baseline = new Baseline();
  @Nullable CallBlock openBlock;

  ReporterScores(int startPoints) {
    for (int i = 0; i < startPoints; i++) {
      startPointTotals.add(new double[Scores.VECTOR_LENGTH]);
    }
  }

  void addStartPoint() {
    startPointTotals.add(totals.clone());
  }

  double scoreSince(int point, int index) {
    return totals[index] - startPointTotals.get(point)[index];
  }

  void add(double[] scores) {
    for (int i = 0; i < totals.length; i++) {
      totals[i] += scores[i];
    }
  }
}
