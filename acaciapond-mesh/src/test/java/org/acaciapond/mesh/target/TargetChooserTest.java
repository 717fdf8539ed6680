package org.acaciapond.mesh.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

  private static final Demand DEMAND = new Demand(1_000, 1, 400_000, 800_000);

  private final TargetChooser chooser = new TargetChooser("n1", "z1", () -> 0);

  private static Candidate candidate(String node, String zone, Phase phase) {
    return new Candidate(
        node, zone, new TargetStatus("i-" + node, 1, "s", "v1", phase, 2, 0, false, 1));
  }

  @Test
  void idleMeshPrefersTheOwnTargetThenTheOwnDomain() {
    Candidate own = candidate("n1", "z1", Phase.READY);
    Candidate near = candidate("n2", "z1", Phase.READY);
    Candidate far = candidate("n3", "z2", Phase.READY);
    List<Candidate> all = List.of(far, near, own);
    assertEquals(own, chooser.choose(all, each -> true, DEMAND, 0));
    assertEquals(near, chooser.choose(all, each -> each != own, DEMAND, 0));
  }

  @Test
  void fullTargetIsLeftForOneThatIsFarther() {
    Candidate own = candidate("n1", "z1", Phase.READY);
    Candidate far = candidate("n3", "z2", Phase.READY);
    own.report(new TargetLoad(2, 6, 6, 60_000, 0), 0);
    far.report(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    assertEquals(far, chooser.choose(List.of(own, far), each -> true, DEMAND, 0));
  }

  @Test
  void failingTargetIsLeftForHealthyOne() {
    Candidate own = candidate("n1", "z1", Phase.READY);
    Candidate far = candidate("n3", "z2", Phase.READY);
    own.report(new TargetLoad(0, 0, 0, 60_000, 450), 0);
    far.report(new TargetLoad(0, 0, 0, 60_000, 0), 0);
    assertEquals(far, chooser.choose(List.of(own, far), each -> true, DEMAND, 0));
  }

  @Test
  void requestThatEveryTargetWouldRefuseIsNotSent() {
    Candidate own = candidate("n1", "z1", Phase.READY);
    own.report(new TargetLoad(2, 40, 40, 60_000, 0), 0);
    assertNull(chooser.choose(List.of(own), each -> true, DEMAND, 0));
    // The report ages; the target is tried again.
    assertEquals(own, chooser.choose(List.of(own), each -> true, DEMAND, 2_000_000_000L));
  }

  @Test
  void urgentRequestIsNotHeldBackByLessUrgentOnesThatWait() {
    Candidate own = candidate("n1", "z1", Phase.READY);
    own.report(new TargetLoad(2, 40, 1, 60_000, 0), 0);
    Demand normal = new Demand(1_000, 2, 400_000, 800_000);
    assertNull(chooser.choose(List.of(own), each -> true, normal, 0));
    assertEquals(own, chooser.choose(List.of(own), each -> true, DEMAND, 0));
  }

  @Test
  void leavingTargetIsNeverChosen() {
    Candidate leaving = candidate("n1", "z1", Phase.DRAINING);
    assertNull(chooser.choose(List.of(leaving), each -> true, DEMAND, 0));
  }
}
