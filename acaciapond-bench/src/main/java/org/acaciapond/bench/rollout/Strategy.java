package org.acaciapond.bench.rollout;

import java.util.List;
import org.acaciapond.rollout.evidence.EvidenceSummary;

/** Strategy that decides the rollout of one simulation run. */
interface Strategy {

  /** Handles the summaries that were received in this second and updates the decision. */
  void advance(int second, List<EvidenceSummary> received, long newCalls, long newErrors);

  /** Returns the granted share. */
  double share();

  /** Returns the number of new targets that receive the share. */
  int targets();

  /** Returns the number of the grant. */
  long grantNumber();

  /** Returns whether the rollout is complete. */
  boolean completed();

  /** Returns whether the new version was taken back. */
  boolean takenBack();

  /** Returns the last state and its reason. */
  String finalState();
}
