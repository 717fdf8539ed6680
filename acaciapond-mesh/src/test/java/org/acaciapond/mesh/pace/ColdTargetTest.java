package org.acaciapond.mesh.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against cold targets that get more requests in a second than they tolerate, or none. */
class ColdTargetTest {

  private static final long MS = 1_000_000L;
  private static final long START_NANOS = 5_000_000_000L;
  private static final int SLOTS = 18;
  private static final int COLD_MS = 20_000;
  private static final double UNKNOWN = -1;

  private double coldRequestsPerS = 12;

  /** Sends whatever may be sent each millisecond and counts it. */
  private final class Sender {
    private final TargetPacer pacer;
    private final Random random;
    private final Deque<Long> lastSecond = new ArrayDeque<>();
    private int sent;
    private int most;

    Sender(TargetPacer pacer, long seed) {
      this.pacer = pacer;
      this.random = new Random(seed);
    }

    void run(long fromMs, long toMs) {
      for (long ms = fromMs; ms < toMs; ms++) {
        offer(START_NANOS + ms * MS);
      }
    }

    // Starts may be sent late, as a new connection takes some time.
    private void offer(long startNanos) {
      long sendNanos = startNanos + random.nextInt(40) * MS / 40;
      if (!pacer.mayStart(startNanos)) {
        return;
      }
      pacer.started(startNanos);
      if (!pacer.trySend(sendNanos)) {
        return;
      }
      sent++;
      lastSecond.addLast(sendNanos);
      while (sendNanos - lastSecond.peekFirst() >= 1_000 * MS) {
        lastSecond.removeFirst();
      }
      most = Math.max(most, lastSecond.size());
    }
  }

  private TargetPacer pacer(long nodeStartMs) {
    return new TargetPacer(
        new ColdBounds(1.5, 8), () -> coldRequestsPerS, START_NANOS + nodeStartMs * MS);
  }

  @ParameterizedTest(name = "{0} a second")
  @CsvSource({"1", "12", "80.5"})
  void coldTargetGetsItsRateFromTheFirstMomentAndNeverMoreThanTheBound(double ratePerS) {
    coldRequestsPerS = ratePerS;
    TargetPacer pacer = pacer(-10_000);
    pacer.targetStarted(SLOTS, COLD_MS, START_NANOS);
    Sender sender = new Sender(pacer, 1);
    sender.run(0, 1);
    assertEquals(1, sender.sent, "the first call waits");
    sender.run(1, 10_000);
    assertTrue(sender.most <= ratePerS * 1.5 + 8, "most in a second: " + sender.most);
    assertTrue(sender.sent >= 9.5 * ratePerS, "sent in ten seconds: " + sender.sent);
  }

  @Test
  void callsBeforeTheTargetBecameColdCountInTheSameSecond() {
    TargetPacer pacer = pacer(-10_000);
    pacer.targetStarted(SLOTS, 0, START_NANOS);
    Sender sender = new Sender(pacer, 2);
    sender.run(0, 20);
    assertEquals(20, sender.sent);
    pacer.targetUpdated(SLOTS, COLD_MS, START_NANOS + 20 * MS);
    sender.run(20, 5_000);
    assertTrue(sender.most <= 26, "most in a second: " + sender.most);
  }

  @Test
  void restartedNodeAssumesThatTheBoundWasSentBefore() {
    TargetPacer pacer = pacer(0);
    pacer.targetStarted(SLOTS, COLD_MS, START_NANOS);
    Sender sender = new Sender(pacer, 3);
    sender.run(0, 1_000);
    assertEquals(0, sender.sent);
    sender.run(1_000, 3_000);
    assertTrue(sender.sent >= 12, "sent afterwards: " + sender.sent);
  }

  @Test
  void unknownRateAllowsOnlyTheSlack() {
    coldRequestsPerS = UNKNOWN;
    TargetPacer pacer = pacer(-10_000);
    pacer.targetStarted(SLOTS, COLD_MS, START_NANOS);
    Sender sender = new Sender(pacer, 4);
    sender.run(0, 5_000);
    assertTrue(sender.most <= 8, "most in a second: " + sender.most);
    assertTrue(sender.sent > 0);
  }

  @Test
  void targetsOfServicesWithoutRateAreNotLimited() {
    coldRequestsPerS = 0;
    TargetPacer pacer = pacer(0);
    pacer.targetStarted(SLOTS, COLD_MS, START_NANOS);
    assertTrue(pacer.mayStart(START_NANOS));
    assertEquals(0, pacer.delayUs(100, START_NANOS));
  }

  @Test
  void queuedCallsWaitForTheRate() {
    TargetPacer pacer = pacer(-10_000);
    pacer.targetStarted(SLOTS, COLD_MS, START_NANOS);
    pacer.started(START_NANOS);
    assertFalse(pacer.mayStart(START_NANOS));
    assertEquals(1e6 / 12, pacer.delayUs(0, START_NANOS), 1);
    assertEquals(12e6 / 12, pacer.delayUs(11, START_NANOS), 1);
  }
}
