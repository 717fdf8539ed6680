package org.acaciapond.bench.rollout;

import java.util.List;
import org.acaciapond.rollout.evidence.EvidenceSummary;

/** Decider of one run: told each second, it keeps the share, the state and the fact. */
interface Strategy {

  /** Takes over the summaries that arrived in this second and decides. */
  void second(int second, List<EvidenceSummary> arrived, long newCalls, long newErrors);

  /** Returns the granted share. */
  double share();

  /** Returns the number of new targets the share lies on. */
  int targets();

  /** Returns the number of the grant. */
  long grant();

  /** Whether the rollout was completed by the set time. */
  boolean completed();

  /** Whether the new version was taken back. */
  boolean takenBack();

  /** Returns the last state and its reason. */
  String ending();
}
