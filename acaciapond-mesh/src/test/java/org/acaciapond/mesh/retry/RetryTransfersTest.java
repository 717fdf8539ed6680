package org.acaciapond.mesh.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.limit.Portion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryTransfersTest {

  private static final long MS = 1_000_000L;
  private static final int NODES = 12;
  private static final double RATIO = 0.2;
  private static final double SLACK = 62;
  private static final int WINDOW_MS = 10_000;

  private final List<RetryBudget> budgets = new ArrayList<>();
  private final List<RetryTransfers> transfers = new ArrayList<>();
  private final PriorityQueue<Sent> sent =
      new PriorityQueue<>(Comparator.comparingLong(Sent::arrivesMs));
  private final List<Long> requestsMs = new ArrayList<>();
  private final List<Long> retriesMs = new ArrayList<>();
  private long nowMs;

  private record Sent(long arrivesMs, int from, int to, LimitMessage message) {}

  private void start(Random random, double lostShare, double repeatedShare, int maxDelayMs) {
    for (int i = 0; i < NODES; i++) {
      int node = i;
      RetryBudget budget = new RetryBudget(RATIO, SLACK, WINDOW_MS);
      budgets.add(budget);
      transfers.add(
          new RetryTransfers(
              budget,
              (to, message) -> {
                int copies = random.nextDouble() < repeatedShare ? 2 : 1;
                for (int copy = 0; copy < copies && random.nextDouble() >= lostShare; copy++) {
                  long arrivesMs = nowMs + 1 + random.nextInt(maxDelayMs);
                  sent.add(new Sent(arrivesMs, node, Integer.parseInt(to), message));
                }
              },
              () -> String.valueOf((node + 1 + random.nextInt(NODES - 1)) % NODES),
              random.nextInt()));
    }
  }

  private void deliver() {
    while (!sent.isEmpty() && sent.peek().arrivesMs() <= nowMs) {
      Sent next = sent.remove();
      transfers
          .get(next.to())
          .receive(String.valueOf(next.from()), next.message(), NODES, nowMs * MS);
    }
  }

  private void request(int node) {
    budgets.get(node).recordRequest("s", nowMs * MS);
    requestsMs.add(nowMs);
  }

  private void retry(int node) {
    if (transfers.get(node).tryRetry("s", NODES, nowMs * MS)) {
      retriesMs.add(nowMs);
    }
  }

  /**
   * Guards against more retries of all nodes together than the budget allows when retries move
   * between nodes and messages are lost, repeated or later than the retries that they carry may be
   * used.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void sumOverNodesStaysWithinTheBudget(long seed) {
    Random random = new Random(seed);
    start(random, 0.05, 0.1, seed % 2 == 0 ? 1_500 : 20);
    for (nowMs = 0; nowMs < 40_000; nowMs += 5) {
      deliver();
      // Half of the time one node needs all retries, then all nodes do.
      int node = random.nextInt(NODES);
      if (random.nextInt(3) > 0) {
        request(node);
      }
      retry(nowMs / 5_000 % 2 == 0 ? (int) (seed % NODES) : node);
    }
    for (long start = 0; start < 30_000; start += 250) {
      long from = start;
      long inWindow = retriesMs.stream().filter(at -> at >= from && at < from + WINDOW_MS).count();
      long requests = requestsMs.stream().filter(at -> at >= from && at < from + WINDOW_MS).count();
      assertTrue(inWindow <= RATIO * requests + SLACK, inWindow + " retries of " + requests);
    }
  }

  // Guards against a node that has no retry left while others do not use theirs.
  @Test
  void retriesThatOthersDoNotNeedAreUsed() {
    start(new Random(5), 0, 0, 6);
    for (nowMs = 0; nowMs < 20_000; nowMs += 5) {
      deliver();
      request((int) (nowMs / 5 % NODES));
      if (nowMs >= WINDOW_MS && nowMs % 50 == 0) {
        retry(0);
      }
    }
    int equalPart = (int) (0.45 * RATIO * 4_000 / NODES) + 2;
    assertTrue(retriesMs.size() > 3 * equalPart, retriesMs.size() + " of " + equalPart);
  }

  // Guards against a repeated message whose retries are used twice, and against late ones.
  @Test
  void replyIsAcceptedOnceAndInTime() {
    List<LimitMessage> asked = new ArrayList<>();
    RetryBudget budget = new RetryBudget(RATIO, 0, WINDOW_MS);
    RetryTransfers node =
        new RetryTransfers(budget, (to, message) -> asked.add(message), () -> "1", 7);
    assertFalse(node.tryRetry("s", NODES, 0));
    LimitMessage.Pull pull = (LimitMessage.Pull) asked.get(0);
    List<Portion> one = List.of(new Portion(1_000_000, 0));
    LimitMessage reply =
        new LimitMessage.Surpluses(
            pull.number(), List.of(new LimitMessage.Surplus(pull.limits().get(0), one)));
    node.receive("1", reply, NODES, 900 * MS);
    node.receive("1", reply, NODES, 900 * MS);
    assertEquals(1, budget.available("s", NODES, 900 * MS));
    assertEquals(0, budget.available("s", NODES, 1_000 * MS));
  }
}
