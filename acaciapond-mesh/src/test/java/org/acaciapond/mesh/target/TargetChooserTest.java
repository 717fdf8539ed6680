package org.acaciapond.mesh.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.acaciapond.mesh.admission.CallRank;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

  private static final int URGENT = CallRank.ofRequest(1);
  private static final int NORMAL = CallRank.ofRequest(2);

  private static final SelectionCriteria CRITERIA =
      new SelectionCriteria(1_000, 0, URGENT, 400_000, 800_000);

  private final TargetChooser chooser = new TargetChooser("n1", "z1", () -> 0);

  private static Candidate candidate(String node, String domain, TargetPhase phase) {
    return new Candidate(
        node, domain, new TargetStatus("i-" + node, 1, "s", "v1", phase, 2, 0, false, 1));
  }

  @Test
  void idleMeshPrefersTheLocalTargetThenTheLocalDomain() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    Candidate sameDomain = candidate("n2", "z1", TargetPhase.READY);
    Candidate otherDomain = candidate("n3", "z2", TargetPhase.READY);
    List<Candidate> all = List.of(otherDomain, sameDomain, local);
    assertEquals(local, chooser.choose(all, each -> true, CRITERIA, 0));
    assertEquals(sameDomain, chooser.choose(all, each -> each != local, CRITERIA, 0));
  }

  @Test
  void targetOfAnotherDomainIsPreferredToFullTarget() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    Candidate otherDomain = candidate("n3", "z2", TargetPhase.READY);
    local.updateLoad(new TargetLoad(2, 6, 6, 60_000, 0), 0);
    otherDomain.updateLoad(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    assertEquals(
        otherDomain, chooser.choose(List.of(local, otherDomain), each -> true, CRITERIA, 0));
  }

  @Test
  void healthyTargetIsPreferredToFailingOne() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    Candidate otherDomain = candidate("n3", "z2", TargetPhase.READY);
    local.updateLoad(new TargetLoad(0, 0, 0, 60_000, 450), 0);
    otherDomain.updateLoad(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    assertEquals(
        otherDomain, chooser.choose(List.of(local, otherDomain), each -> true, CRITERIA, 0));
  }

  @Test
  void requestThatEveryTargetWouldRefuseIsNotSent() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    local.updateLoad(new TargetLoad(2, 40, 40, 60_000, 0), 0);
    assertNull(chooser.choose(List.of(local), each -> true, CRITERIA, 0));
    // The weight of the load report has decayed, so the target is selected again.
    assertEquals(local, chooser.choose(List.of(local), each -> true, CRITERIA, 2_000_000_000L));
  }

  @Test
  void urgentRequestIsNotRefusedForLessUrgentOnesThatWait() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    local.updateLoad(new TargetLoad(2, 40, 1, 60_000, 0), 0);
    SelectionCriteria normal = new SelectionCriteria(1_000, 0, NORMAL, 400_000, 800_000);
    assertNull(chooser.choose(List.of(local), each -> true, normal, 0));
    assertEquals(local, chooser.choose(List.of(local), each -> true, CRITERIA, 0));
    int nestedRank = CallRank.ofNestedCall(NORMAL);
    SelectionCriteria nested = new SelectionCriteria(1_000, 0, nestedRank, 400_000, 800_000);
    assertEquals(local, chooser.choose(List.of(local), each -> true, nested, 0));
  }

  @Test
  void coldTargetGetsNoMoreCallsThanRunAtItsRate() {
    TargetStatus status =
        new TargetStatus("i-n1", 1, "s", "v1", TargetPhase.READY, 18, 3_000, false, 1);
    Candidate cold = new Candidate("n1", "z1", status);
    cold.setColdUntil(3_000_000_000L);
    assertEquals(6, cold.capacity(12, 500_000, 0));
    assertEquals(18, cold.capacity(12, 500_000, 3_000_000_000L));
    assertEquals(18, cold.capacity(0, 500_000, 0));
    cold.updateLoad(new TargetLoad(6, 12, 12, 500_000, 0), 0);
    SelectionCriteria anyRate = new SelectionCriteria(0, 500_000, URGENT, 1_300_000, 4_000_000, 0);
    SelectionCriteria rate = new SelectionCriteria(0, 500_000, URGENT, 1_300_000, 4_000_000, 12);
    assertEquals(cold, chooser.choose(List.of(cold), each -> true, anyRate, 0));
    assertNull(chooser.choose(List.of(cold), each -> true, rate, 0));
  }

  @Test
  void drainingTargetIsNeverSelected() {
    Candidate draining = candidate("n1", "z1", TargetPhase.DRAINING);
    assertNull(chooser.choose(List.of(draining), each -> true, CRITERIA, 0));
  }

  /** Guards against sending bytes to another domain when the local one answers in time. */
  @Test
  void largeResponseStaysInItsDomainWhileItIsInTime() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    Candidate otherDomain = candidate("n3", "z2", TargetPhase.READY);
    local.updateLoad(new TargetLoad(2, 2, 2, 60_000, 0), 0);
    otherDomain.updateLoad(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    SelectionCriteria large = new SelectionCriteria(5_000, 60_000, NORMAL, 400_000, 800_000);
    assertEquals(local, chooser.choose(List.of(local, otherDomain), each -> true, large, 0));
  }

  /** Guards against late responses in the local domain when a target of another one is in time. */
  @Test
  void requestLeavesItsDomainWhenItWouldBeLateThere() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    Candidate otherDomain = candidate("n3", "z2", TargetPhase.READY);
    local.updateLoad(new TargetLoad(2, 1, 1, 60_000, 0), 0);
    otherDomain.updateLoad(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    SelectionCriteria shortDeadline = new SelectionCriteria(100, 60_000, NORMAL, 130_000, 300_000);
    assertEquals(
        otherDomain, chooser.choose(List.of(local, otherDomain), each -> true, shortDeadline, 0));
  }

  /** Guards against selection by load alone among targets of different speed. */
  @Test
  void requestWithLittleTimeAvoidsTheSlowTarget() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    Candidate sameDomain = candidate("n2", "z1", TargetPhase.READY);
    for (int i = 0; i < 10; i++) {
      local.recordRelativeServiceTime(1.8);
      sameDomain.recordRelativeServiceTime(0.9);
    }
    SelectionCriteria shortDeadline = new SelectionCriteria(100, 60_000, URGENT, 130_000, 300_000);
    SelectionCriteria longDeadline =
        new SelectionCriteria(100, 60_000, URGENT, 2_000_000, 5_000_000);
    assertEquals(
        sameDomain, chooser.choose(List.of(local, sameDomain), each -> true, shortDeadline, 0));
    assertEquals(local, chooser.choose(List.of(local, sameDomain), each -> true, longDeadline, 0));
  }

  /** Guards against refusing short requests because the mean service time is long. */
  @Test
  void shortRequestIsSentWhereALongOneWouldBeLate() {
    Candidate local = candidate("n1", "z1", TargetPhase.READY);
    local.updateLoad(new TargetLoad(2, 1, 1, 90_000, 0), 0);
    SelectionCriteria shortRequest = new SelectionCriteria(100, 10_000, URGENT, 160_000, 250_000);
    SelectionCriteria longRequest = new SelectionCriteria(100, 150_000, URGENT, 160_000, 250_000);
    assertEquals(local, chooser.choose(List.of(local), each -> true, shortRequest, 0));
    assertNull(chooser.choose(List.of(local), each -> true, longRequest, 0));
  }
}
