package org.acaciapond.node.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.model.VersionConfig;
import org.acaciapond.config.version.ConfigVersion;
import org.junit.jupiter.api.Test;

/** Guards against checks that never fail: breaks each invariant once and expects a report. */
class InvariantRecorderTest {

  private final InvariantRecorder recorder = new InvariantRecorder();

  private void assertReported(String invariant) {
    assertEquals(
        List.of(invariant),
        recorder.newViolations().stream().map(InvariantRecorder.Violation::invariant).toList());
  }

  private void assertClean() {
    assertEquals(List.of(), recorder.newViolations());
  }

  private static ServiceConfig service(
      String name, long editId, String routeVersion, String... dependsOn) {
    return new ServiceConfig(
        name,
        List.of(dependsOn),
        false,
        List.of(new RouteConfig("/", true, 1_000, 1, routeVersion)),
        new LimitsConfig(1, 1, 1, editId),
        List.of(new VersionConfig("v1")),
        "v1",
        null);
  }

  private void recordServices(String host, long sequence, ServiceConfig... services) {
    recorder.recordServices(host, services[0], List.of(services), sequence);
  }

  private void executeOnce(String id, boolean idempotent) {
    recorder.recordCall(id, "caller", idempotent, "whole");
    recorder.recordExecution(id, "host", "v1", System.currentTimeMillis());
  }

  @Test
  void olderVersionIsReported() {
    recorder.recordVersion("host", new ConfigVersion(1, 2, "b"));
    recorder.recordVersion("host", new ConfigVersion(1, 2, "b"));
    assertClean();
    recorder.recordVersion("host", new ConfigVersion(1, 1, "a"));
    assertReported("I1");
  }

  @Test
  void otherContentAtSamePositionIsReported() {
    recorder.recordVersion("host", new ConfigVersion(1, 2, "b"));
    recorder.recordVersion("host", new ConfigVersion(1, 2, "c"));
    assertReported("I1");
  }

  @Test
  void absentDependencyIsReported() {
    recordServices("host", 1, service("front", 7, null, "back"), service("back", 7, "v1"));
    assertClean();
    recordServices("host", 1, service("front", 7, null, "back"));
    assertReported("I2");
  }

  @Test
  void absentVersionIsReported() {
    recordServices("host", 1, service("front", 7, "v9"));
    assertReported("I2");
  }

  @Test
  void partsOfTwoEditsAreReported() {
    recorder.recordServices(
        "host", null, List.of(service("front", 7, null), service("back", 7, null)), 1);
    assertClean();
    recorder.recordServices(
        "host", null, List.of(service("back", 7, null), service("front", 8, null)), 1);
    assertEquals("I3", recorder.newViolations().get(0).invariant());
  }

  @Test
  void callToTakenBackVersionIsReported() throws InterruptedException {
    executeOnce("before", true);
    recorder.recordTakeBackKnown("caller", "v1");
    assertClean();
    Thread.sleep(5);
    executeOnce("after", true);
    assertReported("I4");
  }

  @Test
  void responseOfAnotherCallIsReported() {
    executeOnce("a", true);
    recorder.recordResponse("a", 200, null, "other");
    assertReported("I5");
  }

  @Test
  void secondResponseIsReported() {
    executeOnce("a", true);
    recorder.recordResponse("a", 200, null, "whole");
    assertClean();
    recorder.recordResponse("a", 200, null, "whole");
    assertReported("I5");
  }

  @Test
  void refusedCallThatRanIsReported() {
    executeOnce("a", true);
    recorder.recordResponse("a", 503, "not-run", "");
    assertReported("I6");
  }

  @Test
  void secondRunIsReportedUnlessIdempotent() {
    executeOnce("safe", true);
    recorder.recordExecution("safe", "host", "v1", System.currentTimeMillis());
    executeOnce("once", false);
    assertClean();
    recorder.recordExecution("once", "host", "v1", System.currentTimeMillis());
    assertReported("I7");
  }

  @Test
  void workLongAfterLeavingIsReported() {
    recorder.recordLeaving("host");
    long startMs = System.currentTimeMillis();
    recorder.recordCall("a", "caller", true, "whole");
    recorder.recordExecution("a", "host", "v1", startMs);
    assertClean();
    recorder.recordCall("b", "caller", true, "whole");
    recorder.recordExecution("b", "host", "v1", startMs + InvariantRecorder.LEAVE_BOUND_MS + 100);
    assertReported("I8");
  }

  @Test
  void callCutByPlannedStopIsReported() {
    recorder.recordCutByPlannedStop("host", "a");
    assertReported("I9");
  }

  @Test
  void activeRefusedEditIsReported() {
    recorder.recordRejectedEdit(8);
    recordServices("host", 1, service("front", 7, null));
    assertClean();
    recordServices("host", 2, service("front", 8, null));
    assertReported("I10");
  }

  @Test
  void acceptedEditWithOtherContentIsReported() {
    recorder.recordAcceptedEdit(1, 7);
    recordServices("host", 1, service("front", 8, null));
    assertReported("I10");
  }

  @Test
  void editThatIsNotActiveIsReported() {
    recorder.recordNotActive("host", 1, 2);
    assertReported("I10");
  }
}
