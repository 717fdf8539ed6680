package org.acaciapond.mesh.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

  private static final SelectionCriteria DEMAND =
      new SelectionCriteria(1_000, 0, 1, 400_000, 800_000);

  private final TargetChooser chooser = new TargetChooser("n1", "z1", () -> 0);

  private static Candidate candidate(String node, String domain, TargetPhase phase) {
    return new Candidate(
        node, domain, new TargetStatus("i-" + node, 1, "s", "v1", phase, 2, 0, false, 1));
  }

  @Test
  void idleMeshPrefersTheOwnTargetThenTheOwnDomain() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    Candidate near = candidate("n2", "z1", TargetPhase.READY);
    Candidate far = candidate("n3", "z2", TargetPhase.READY);
    List<Candidate> all = List.of(far, near, own);
    assertEquals(own, chooser.choose(all, each -> true, DEMAND, 0));
    assertEquals(near, chooser.choose(all, each -> each != own, DEMAND, 0));
  }

  @Test
  void fullTargetIsLeftForOneThatIsFarther() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    Candidate far = candidate("n3", "z2", TargetPhase.READY);
    own.report(new TargetLoad(2, 6, 6, 60_000, 0), 0);
    far.report(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    assertEquals(far, chooser.choose(List.of(own, far), each -> true, DEMAND, 0));
  }

  @Test
  void failingTargetIsLeftForHealthyOne() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    Candidate far = candidate("n3", "z2", TargetPhase.READY);
    own.report(new TargetLoad(0, 0, 0, 60_000, 450), 0);
    far.report(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    assertEquals(far, chooser.choose(List.of(own, far), each -> true, DEMAND, 0));
  }

  @Test
  void requestThatEveryTargetWouldRefuseIsNotSent() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    own.report(new TargetLoad(2, 40, 40, 60_000, 0), 0);
    assertNull(chooser.choose(List.of(own), each -> true, DEMAND, 0));
    // The report ages; the target is tried again.
    assertEquals(own, chooser.choose(List.of(own), each -> true, DEMAND, 2_000_000_000L));
  }

  @Test
  void urgentRequestIsNotHeldBackByLessUrgentOnesThatWait() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    own.report(new TargetLoad(2, 40, 1, 60_000, 0), 0);
    SelectionCriteria normal = new SelectionCriteria(1_000, 0, 2, 400_000, 800_000);
    assertNull(chooser.choose(List.of(own), each -> true, normal, 0));
    assertEquals(own, chooser.choose(List.of(own), each -> true, DEMAND, 0));
  }

  @Test
  void leavingTargetIsNeverChosen() {
    Candidate leaving = candidate("n1", "z1", TargetPhase.DRAINING);
    assertNull(chooser.choose(List.of(leaving), each -> true, DEMAND, 0));
  }

  /** Guards against bytes between domains for requests that are in time where they are. */
  @Test
  void largeAnswerStaysInItsDomainWhileItIsInTime() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    Candidate far = candidate("n3", "z2", TargetPhase.READY);
    own.report(new TargetLoad(2, 2, 2, 60_000, 0), 0);
    far.report(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    SelectionCriteria large = new SelectionCriteria(5_000, 60_000, 2, 400_000, 800_000);
    assertEquals(own, chooser.choose(List.of(own, far), each -> true, large, 0));
  }

  /** Guards against requests that are late at home while a far target would be in time. */
  @Test
  void requestLeavesItsDomainWhenItWouldBeLateThere() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    Candidate far = candidate("n3", "z2", TargetPhase.READY);
    own.report(new TargetLoad(2, 1, 1, 60_000, 0), 0);
    far.report(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    SelectionCriteria pressing = new SelectionCriteria(100, 60_000, 2, 130_000, 300_000);
    assertEquals(far, chooser.choose(List.of(own, far), each -> true, pressing, 0));
  }

  /** Guards against a choice by load alone among targets of unlike speed. */
  @Test
  void requestWithLittleTimeAvoidsTheTargetThatRanSlowly() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    Candidate near = candidate("n2", "z1", TargetPhase.READY);
    for (int i = 0; i < 10; i++) {
      own.ran(1.8);
      near.ran(0.9);
    }
    SelectionCriteria pressing = new SelectionCriteria(100, 60_000, 1, 130_000, 300_000);
    SelectionCriteria patient = new SelectionCriteria(100, 60_000, 1, 2_000_000, 5_000_000);
    assertEquals(near, chooser.choose(List.of(own, near), each -> true, pressing, 0));
    assertEquals(own, chooser.choose(List.of(own, near), each -> true, patient, 0));
  }

  /** Guards against short requests that are refused for the length of the others. */
  @Test
  void shortRequestIsSentWhereOnlyLongOnesWouldBeTooLate() {
    Candidate own = candidate("n1", "z1", TargetPhase.READY);
    own.report(new TargetLoad(2, 1, 1, 90_000, 0), 0);
    SelectionCriteria brief = new SelectionCriteria(100, 10_000, 1, 160_000, 250_000);
    SelectionCriteria lengthy = new SelectionCriteria(100, 150_000, 1, 160_000, 250_000);
    assertEquals(own, chooser.choose(List.of(own), each -> true, brief, 0));
    assertNull(chooser.choose(List.of(own), each -> true, lengthy, 0));
  }
}
