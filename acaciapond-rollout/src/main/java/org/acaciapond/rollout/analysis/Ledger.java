package org.acaciapond.rollout.analysis;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Scores of one witness on one route: totals now and at each start point of the test. */
final class Ledger {

  final double[] totals = new double[Scores.LENGTH];
  final List<double[]> marks = new ArrayList<>();
  final Baseline baseline = new Baseline();
  @Nullable Block open;

  Ledger(int startPoints) {
    for (int i = 0; i < startPoints; i++) {
      marks.add(new double[Scores.LENGTH]);
    }
  }

  void mark() {
    marks.add(totals.clone());
  }

  double since(int mark, int index) {
    return totals[index] - marks.get(mark)[index];
  }

  void add(double[] scores) {
    for (int i = 0; i < totals.length; i++) {
      totals[i] += scores[i];
    }
  }
}
