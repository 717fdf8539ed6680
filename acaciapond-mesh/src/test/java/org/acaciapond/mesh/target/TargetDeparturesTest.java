package org.acaciapond.mesh.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TargetDeparturesTest {

  private static final int MANY = 100;
  private static final TargetDeparture STARTED_AT_100 = new TargetDeparture("a", 100, 5_000);
  private static final TargetDeparture WITHOUT_START = new TargetDeparture("a", 0, 5_000);

  @Test
  void departureCoversLifetimesThatStartedNoLater() {
    TargetDepartures departures = TargetDepartures.NONE.with(STARTED_AT_100);
    assertTrue(departures.covers(new TargetDeparture("a", 100, 6_000)));
    assertTrue(departures.covers(new TargetDeparture("b", 99, 6_000)));
    assertFalse(departures.covers(new TargetDeparture("a", 101, 5_000)));
  }

  /**
   * Guards against a departure that is confirmed because another kind of announcement is stored.
   */
  @Test
  void departuresWithAndWithoutStartTimeDoNotCoverEachOther() {
    assertFalse(STARTED_AT_100.covers(WITHOUT_START));
    assertFalse(WITHOUT_START.covers(STARTED_AT_100));
  }

  @Test
  void departureWithoutStartTimeCoversEarlierOnesOfItsId() {
    assertTrue(WITHOUT_START.covers(new TargetDeparture("a", 0, 4_000)));
    assertFalse(WITHOUT_START.covers(new TargetDeparture("a", 0, 6_000)));
    assertFalse(WITHOUT_START.covers(new TargetDeparture("b", 0, 4_000)));
  }

  @Test
  void coveredDepartureChangesNothing() {
    TargetDepartures departures = TargetDepartures.NONE.with(STARTED_AT_100);
    assertSame(departures, departures.with(new TargetDeparture("a", 50, 6_000)));
  }

  @Test
  void departureReplacesThoseThatItCovers() {
    TargetDeparture later = new TargetDeparture("a", 200, 6_000);
    assertEquals(
        List.of(WITHOUT_START, later),
        TargetDepartures.NONE.with(STARTED_AT_100).with(WITHOUT_START).with(later).all());
  }

  @Test
  void latestStartedIsTheOneThatCoversAllOthersWithStartTime() {
    assertNull(TargetDepartures.NONE.with(WITHOUT_START).latestStarted());
    TargetDeparture later = new TargetDeparture("b", 200, 6_000);
    TargetDepartures departures =
        TargetDepartures.NONE.with(STARTED_AT_100).with(later).with(WITHOUT_START);
    assertEquals(later, departures.latestStarted());
  }

  /** Guards against a row that grows beyond the store's limit. */
  @Test
  void numberOfDeparturesIsBounded() {
    TargetDepartures departures = TargetDepartures.NONE;
    for (int i = 0; i < MANY; i++) {
      departures = departures.with(new TargetDeparture("id-" + i, 0, i));
    }
    assertTrue(departures.all().size() < MANY);
    assertTrue(departures.covers(new TargetDeparture("id-" + (MANY - 1), 0, MANY - 1)));
  }
}
