package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {

  private static final long MS = 1_000_000L;

  private final ReturnSchedule schedule = new ReturnSchedule();

  private List<Integer> delays(int callers, long nowMs) {
    List<Integer> delays = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      delays.add(schedule.delayMs(50, 400, 30 * MS, nowMs * MS));
    }
    return delays;
  }

  /** Guards against callers that return together to the room for one of them. */
  @Test
  void callersRefusedTogetherReturnOneAfterTheOther() {
    assertEquals(List.of(50, 80, 110, 140), delays(4, 1_000));
  }

  @Test
  void laterCallersCountThoseThatWereToldBefore() {
    delays(3, 1_000);
    assertEquals(List.of(90, 120), delays(2, 1_050));
  }

  @Test
  void roomIsFreeAgainAfterwards() {
    delays(3, 1_000);
    assertEquals(List.of(50), delays(1, 2_000));
  }

  @Test
  void nobodyIsToldToWaitLongerThanTheCallerDoes() {
    List<Integer> delays = delays(40, 1_000);
    assertEquals(390, delays.get(11) + 10);
    assertEquals(400, delays.get(39));
  }
}
