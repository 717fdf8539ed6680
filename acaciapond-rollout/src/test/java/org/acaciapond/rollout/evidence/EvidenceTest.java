package org.acaciapond.rollout.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards the counting of evidence and its way to the judges. */
class EvidenceTest {

  private static final int BUDGET_BYTES_PER_SECOND = 3000;

  /** Guards against results that say nothing of the version being held against it. */
  @Test
  void uninformativeResultsDoNotCount() {
    Evidence evidence = new Evidence(10);
    for (CallResult result : CallResult.values()) {
      evidence.record("pay-engine", "v2", "/release", result, 5_000);
    }
    RouteCounts counts = evidence.drain().get(0);
    assertEquals(2, counts.calls());
    assertEquals(1, counts.errors());
    assertEquals(1, counts.latency().countFrom(0));
  }

  /** Guards against unbounded memory when callers invent routes. */
  @Test
  void cellsAreBounded() {
    Evidence evidence = new Evidence(10);
    for (int i = 0; i < 100; i++) {
      evidence.record("catalogue", "v1", "/" + i, CallResult.SUCCESS, 1_000);
    }
    assertEquals(10, evidence.drain().size());
    assertEquals(90, evidence.dropped());
  }

  /** Guards against late, duplicate or reordered summaries changing the evidence. */
  @Property(tries = 500)
  void everyIntervalCountsOnceInAnyOrder(@ForAll long seed) {
    Random random = new Random(seed);
    EvidenceInbox inbox = new EvidenceInbox(4);
    List<EvidenceSummary> sent = new ArrayList<>();
    for (int i = 0; i < EvidenceInbox.WINDOW; i++) {
      EvidenceSummary summary = summary("node", 1, i);
      sent.add(summary);
      for (int copies = random.nextInt(3); copies > 0; copies--) {
        sent.add(summary);
      }
    }
    java.util.Collections.shuffle(sent, random);
    long accepted = sent.stream().filter(inbox::accept).count();
    assertEquals(EvidenceInbox.WINDOW, accepted);
    assertTrue(inbox.accept(summary("node", 2, 0)));
    assertTrue(!inbox.accept(summary("node", 1, 100)), "older incarnation");
  }

  /** Guards against summaries that change on their way, or malformed ones that pass. */
  @Property(tries = 300)
  void encodingKeepsEverythingAndRefusesTruncation(@ForAll long seed) {
    EvidenceSummary summary = busy(new Random(seed), 3);
    byte[] bytes = SummaryCodec.encode(summary);
    assertEquals(summary, SummaryCodec.decode(bytes));
    byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
    assertThrows(IllegalArgumentException.class, () -> SummaryCodec.decode(truncated));
  }

  /** Guards the byte budget of a node: 220 calls/s to five services, one of them moving. */
  @Test
  void summaryStaysWithinTheBudgetOfOneSecond() {
    int bytes = SummaryCodec.encode(busy(new Random(1), 18)).length;
    System.out.println("summary of 18 cells: " + bytes + " bytes");
    assertTrue(bytes < BUDGET_BYTES_PER_SECOND, bytes + " bytes");
  }

  private static EvidenceSummary summary(String witness, long incarnation, long interval) {
    return new EvidenceSummary(witness, "kolkata-north", incarnation, interval, 1, List.of());
  }

  private static EvidenceSummary busy(Random random, int cells) {
    Evidence evidence = new Evidence(cells);
    for (int i = 0; i < 220; i++) {
      int cell = random.nextInt(cells);
      CallResult result = random.nextInt(50) == 0 ? CallResult.ERROR : CallResult.SUCCESS;
      double latencyUs = 18_000 * Math.exp(0.7 * random.nextGaussian());
      String version = cell % 2 == 0 ? "v1" : "v2";
      evidence.record("service-" + cell / 6, version, "/route-" + cell / 2, result, latencyUs);
    }
    return new EvidenceSummary("host-1", "howrah", 3, 77, 5, evidence.drain());
  }
}
