package org.acaciapond.bench.pace;

import java.util.List;
import org.acaciapond.mesh.pace.PaceState;

/** What callers got in one run. */
final class PaceCounts {

  private int offered;
  private int offeredInTrouble;
  private int served;
  private int servedInTime;
  private int refused;
  private int refusedByTarget;
  private int lost;
  private int lostForGood;
  private int repeatable;

  void offered(boolean inTrouble) {
    offered++;
    offeredInTrouble += inTrouble ? 1 : 0;
  }

  void served(boolean inTime) {
    served++;
    servedInTime += inTime ? 1 : 0;
  }

  void refused() {
    refused++;
  }

  void refusedByTarget() {
    refusedByTarget++;
  }

  void lost(boolean idempotent, double afterS) {
    lost++;
    lostForGood += idempotent ? 0 : 1;
    repeatable += idempotent && afterS < PaceCase.DEADLINE_S - PaceCase.OBJECTIVE_S ? 1 : 0;
  }

  PaceResult result(double untilFullS, int mostInSecond, int crashes, List<PaceState> states) {
    return new PaceResult(
        offered,
        offeredInTrouble,
        served,
        servedInTime,
        refused,
        refusedByTarget,
        lost,
        lostForGood,
        repeatable,
        untilFullS,
        mostInSecond,
        crashes,
        states);
  }
}
