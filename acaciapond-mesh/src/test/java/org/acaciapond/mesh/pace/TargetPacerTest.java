package org.acaciapond.mesh.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against targets that get more calls than they answer, and against healthy targets that get
 * fewer than their slots. The load is played by the tests of {@code acaciapond-bench pace}.
 */
class TargetPacerTest {

  private static final long MS = 1_000_000L;
  private static final int SLOTS = 8;
  private static final String ROUTE = "views";

  private final TargetPacer pacer = new TargetPacer(new ColdBounds(1, 0), () -> 0, 0);
  private long nowNanos;

  @BeforeEach
  void startTarget() {
    pacer.targetStarted(SLOTS, 0, nowNanos);
  }

  private void pass(long ms) {
    nowNanos += ms * MS;
  }

  private void runCall(String route, long serviceMs, CallEnd end) {
    PacedCall call = pacer.callSent(route, nowNanos);
    pass(serviceMs);
    pacer.callEnded(call, end, nowNanos);
  }

  private void runCalls(int count, CallEnd end) {
    for (int i = 0; i < count; i++) {
      runCall(ROUTE, 100, end);
    }
  }

  private List<PacedCall> sendUnanswered(int count) {
    List<PacedCall> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      calls.add(pacer.callSent(ROUTE, nowNanos));
    }
    return calls;
  }

  private void becomeSilent() {
    runCalls(10, CallEnd.ANSWERED);
    sendUnanswered(3);
    pass(1_000);
    assertEquals(3, pacer.checkOverdue(nowNanos));
  }

  @Test
  void silentTargetGetsOneIdempotentCallAtATime() {
    becomeSilent();
    assertEquals(PaceState.SILENT, pacer.state());
    assertEquals(1, pacer.capacity());
    assertTrue(pacer.mayProbe(true, 3, nowNanos));
    sendUnanswered(1);
    assertFalse(pacer.mayProbe(true, 4, nowNanos));
    pass(1_000);
    pacer.checkOverdue(nowNanos);
    assertTrue(pacer.mayProbe(true, 4, nowNanos));
  }

  @Test
  void callThatMayNotBeRepeatedIsProbeOnlyIfThereIsNoOther() {
    becomeSilent();
    sendUnanswered(1);
    pass(900);
    pacer.checkOverdue(nowNanos);
    assertFalse(pacer.mayProbe(false, 4, nowNanos));
    pass(100);
    assertTrue(pacer.mayProbe(false, 4, nowNanos));
  }

  @Test
  void limitRisesWithEachAnswerOfRecoveredTarget() {
    becomeSilent();
    runCall(ROUTE, 100, CallEnd.ANSWERED);
    assertEquals(PaceState.SLOW_START, pacer.state());
    assertEquals(SLOTS / 2 + 1, pacer.capacity());
    runCalls(3, CallEnd.ANSWERED);
    assertEquals(PaceState.OPEN, pacer.state());
    assertEquals(SLOTS, pacer.limit(nowNanos));
  }

  @Test
  void callsThatWaitForNestedCallsDoNotMakeTheTargetSilent() {
    runCalls(10, CallEnd.ANSWERED);
    sendUnanswered(SLOTS);
    pass(900);
    pacer.nestedCallEnded(ROUTE, nowNanos);
    pacer.checkOverdue(nowNanos);
    assertEquals(PaceState.OPEN, pacer.state());
  }

  @Test
  void longCallsOfUnknownRouteAreNotOverdue() {
    sendUnanswered(SLOTS);
    pass(20_000);
    assertEquals(0, pacer.checkOverdue(nowNanos));
    assertEquals(PaceState.OPEN, pacer.state());
  }

  @Test
  void oneLostAnswerDoesNotMakeTheTargetSilent() {
    runCalls(10, CallEnd.ANSWERED);
    sendUnanswered(1);
    pass(5_000);
    assertEquals(1, pacer.checkOverdue(nowNanos));
    assertEquals(0, pacer.checkOverdue(nowNanos));
    assertEquals(PaceState.OPEN, pacer.state());
  }

  @Test
  void unreachableTargetGetsOneCallAtATimeUntilItAnswers() {
    pacer.connectFailed(nowNanos);
    assertEquals(SLOTS, pacer.limit(nowNanos));
    pacer.connectFailed(nowNanos);
    assertEquals(PaceState.UNREACHABLE, pacer.state());
    assertEquals(1, pacer.limit(nowNanos));
    assertTrue(pacer.mayProbe(false, 0, nowNanos));
    assertFalse(pacer.mayProbe(true, 1, nowNanos));
    runCall(ROUTE, 100, CallEnd.ANSWERED);
    assertEquals(PaceState.SLOW_START, pacer.state());
  }

  @Test
  void refusalDuringSlowStartLowersTheLimit() {
    pacer.targetStarted(SLOTS, 3_000, nowNanos);
    assertEquals(PaceState.SLOW_START, pacer.state());
    runCall(ROUTE, 1, CallEnd.REFUSED);
    assertEquals(PaceState.LIMITED, pacer.state());
    assertEquals(2, pacer.limit(nowNanos));
  }

  @Test
  void moreAbandonedCallsThanSlotsAreTakenOffTheLimit() {
    runCalls(10, CallEnd.ANSWERED);
    for (int i = 0; i < SLOTS + 3; i++) {
      pacer.callEnded(pacer.callSent(ROUTE, nowNanos), CallEnd.ABANDONED, nowNanos);
    }
    assertEquals(SLOTS - 3, pacer.limit(nowNanos));
    pass(200);
    assertEquals(SLOTS, pacer.limit(nowNanos));
  }

  @ParameterizedTest
  @EnumSource(CallEnd.class)
  void fewCallsAreNoEvidence(CallEnd end) {
    runCalls(10, end);
    assertEquals(SLOTS, pacer.limit(nowNanos));
  }

  @Test
  void endOfCallCountsOnce() {
    PacedCall call = pacer.callSent(ROUTE, nowNanos);
    pacer.callEnded(call, CallEnd.ANSWERED, nowNanos);
    pacer.callEnded(call, CallEnd.ABANDONED, nowNanos);
    assertEquals(SLOTS, pacer.limit(nowNanos));
  }
}
