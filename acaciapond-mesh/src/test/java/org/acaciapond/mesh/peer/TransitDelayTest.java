package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TransitDelayTest {

  private static final long MS = 1_000_000L;

  private final TransitDelay delay = new TransitDelay();

  @Test
  void delayIsRelativeToFastestMessageWhateverTheClocksShow() {
    assertEquals(0, delay.measureMs(9_000_000, 100 * MS));
    assertEquals(0, delay.measureMs(9_000_100, 195 * MS));
    assertEquals(1_205, delay.measureMs(9_000_200, 1_500 * MS));
  }

  /** Guards against calls that are refused forever after the clock of their sender stood still. */
  @Test
  void stepOfTheSenderClockIsForgotten() {
    assertEquals(0, delay.measureMs(1_000, 1_000 * MS));
    assertEquals(3_000, delay.measureMs(2_000, 5_000 * MS));
    delay.measureMs(8_000, 11_000 * MS);
    assertEquals(0, delay.measureMs(14_000, 17_000 * MS));
  }
}
