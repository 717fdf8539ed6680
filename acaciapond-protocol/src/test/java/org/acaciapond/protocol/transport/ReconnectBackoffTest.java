package org.acaciapond.protocol.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against delays that stay short, which floods a host, or that grow without a bound. */
class ReconnectBackoffTest {

  @Test
  void delaysGrowToTheirBoundAndStartAgainAfterASuccess() {
    ReconnectBackoff backoff = new ReconnectBackoff(new SplittableRandom(1));
    assertTrue(backoff.nextDelayMs() <= 200);
    long last = 0;
    for (int i = 0; i < 100; i++) {
      last = backoff.nextDelayMs();
      assertTrue(last <= 10_000, "delay " + last);
    }
    assertTrue(last >= 5_000, "delay " + last);
    backoff.reset();
    assertTrue(backoff.nextDelayMs() <= 200);
  }
}
