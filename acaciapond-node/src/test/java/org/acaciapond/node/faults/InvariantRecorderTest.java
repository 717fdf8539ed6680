package org.acaciapond.node.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.version.ConfigVersion;
import org.junit.jupiter.api.Test;

/** Guards against checks that cannot fail: each invariant is broken once and must be reported. */
class InvariantRecorderTest {

  private final InvariantRecorder recorder = new InvariantRecorder();

  private void assertReported(String invariant) {
    assertEquals(
        List.of(invariant),
        recorder.verdict().stream().map(InvariantRecorder.Violation::invariant).toList());
  }

  private void assertClean() {
    assertEquals(List.of(), recorder.verdict());
  }

  private static ServiceConfig service(String name, long marker, String pinned, String... needs) {
    return new ServiceConfig(
        name,
        List.of(needs),
        false,
        List.of(new RouteConfig("/", true, 1_000, 1, pinned)),
        new LimitsConfig(1, 1, 1, marker),
        List.of(new VersionConfig("v1")),
        "v1",
        null);
  }

  private void apply(String host, long sequence, ServiceConfig... services) {
    recorder.services(host, services[0], List.of(services), sequence);
  }

  private void runOnce(String id, boolean idempotent) {
    recorder.started(id, "caller", idempotent, "whole");
    recorder.ran(id, "host", "v1", System.currentTimeMillis());
  }

  @Test
  void olderVersionIsReported() {
    recorder.version("host", new ConfigVersion(1, 2, "b"));
    recorder.version("host", new ConfigVersion(1, 2, "b"));
    assertClean();
    recorder.version("host", new ConfigVersion(1, 1, "a"));
    assertReported("I1");
  }

  @Test
  void otherContentAtSamePositionIsReported() {
    recorder.version("host", new ConfigVersion(1, 2, "b"));
    recorder.version("host", new ConfigVersion(1, 2, "c"));
    assertReported("I1");
  }

  @Test
  void absentDependencyIsReported() {
    apply("host", 1, service("front", 7, null, "back"), service("back", 7, "v1"));
    assertClean();
    apply("host", 1, service("front", 7, null, "back"));
    assertReported("I2");
  }

  @Test
  void absentVersionIsReported() {
    apply("host", 1, service("front", 7, "v9"));
    assertReported("I2");
  }

  @Test
  void partsOfTwoEditsAreReported() {
    recorder.services(
        "host", null, List.of(service("front", 7, null), service("back", 7, null)), 1);
    assertClean();
    recorder.services(
        "host", null, List.of(service("back", 7, null), service("front", 8, null)), 1);
    assertEquals("I3", recorder.verdict().get(0).invariant());
  }

  @Test
  void callToTakenBackVersionIsReported() throws InterruptedException {
    runOnce("before", true);
    recorder.factKnown("caller", "v1");
    assertClean();
    Thread.sleep(5);
    runOnce("after", true);
    assertReported("I4");
  }

  @Test
  void answerOfAnotherCallIsReported() {
    runOnce("a", true);
    recorder.answered("a", 200, null, "other");
    assertReported("I5");
  }

  @Test
  void secondAnswerIsReported() {
    runOnce("a", true);
    recorder.answered("a", 200, null, "whole");
    assertClean();
    recorder.answered("a", 200, null, "whole");
    assertReported("I5");
  }

  @Test
  void refusedCallThatRanIsReported() {
    runOnce("a", true);
    recorder.answered("a", 503, "not-run", "");
    assertReported("I6");
  }

  @Test
  void secondRunIsReportedUnlessIdempotent() {
    runOnce("safe", true);
    recorder.ran("safe", "host", "v1", System.currentTimeMillis());
    runOnce("once", false);
    assertClean();
    recorder.ran("once", "host", "v1", System.currentTimeMillis());
    assertReported("I7");
  }

  @Test
  void workLongAfterLeavingIsReported() {
    recorder.leaving("host");
    long nowMs = System.currentTimeMillis();
    recorder.started("a", "caller", true, "whole");
    recorder.ran("a", "host", "v1", nowMs);
    assertClean();
    recorder.started("b", "caller", true, "whole");
    recorder.ran("b", "host", "v1", nowMs + InvariantRecorder.LEAVE_BOUND_MS + 100);
    assertReported("I8");
  }

  @Test
  void callCutByPlannedStopIsReported() {
    recorder.cutByPlannedStop("host", "a");
    assertReported("I9");
  }

  @Test
  void refusedEditInForceIsReported() {
    recorder.refused(8);
    apply("host", 1, service("front", 7, null));
    assertClean();
    apply("host", 2, service("front", 8, null));
    assertReported("I10");
  }

  @Test
  void acceptedEditWithOtherContentIsReported() {
    recorder.accepted(1, 7);
    apply("host", 1, service("front", 8, null));
    assertReported("I10");
  }

  @Test
  void editThatIsNotInForceIsReported() {
    recorder.notInForce("host", 1, 2);
    assertReported("I10");
  }
}
