package org.acaciapond.mesh.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Load: one target with 4 slots and a service time of 40 ms, that is 100 calls a second. */
class AccountSharesTest {

  private static final long MS = 1_000_000L;
  private static final int SERVICE_MS = 40;
  private static final int SECONDS = 20;
  private static final String ROUTE = "r";

  private final Random random = new Random(11);
  private final Map<String, Integer> offered = new HashMap<>();
  private final Map<String, Integer> served = new HashMap<>();

  private record Call(String account) {}

  private record End(long atMs, Call call) {}

  private AdmissionQueue<Call> newQueue() {
    ServiceTimes times = new ServiceTimes();
    times.add(ROUTE, SERVICE_MS * 1_000.0);
    AdmissionQueue<Call> queue = new AdmissionQueue<>(times);
    queue.setSlots(4);
    return queue;
  }

  /**
   * Plays the load.
   *
   * @param perSecond calls a second of each account
   * @param leaving account whose clients leave the queue after 20 ms
   */
  private void play(Map<String, Integer> perSecond, String leaving) {
    AdmissionQueue<Call> queue = newQueue();
    PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
    List<End> leaves = new ArrayList<>();
    for (long nowMs = 0; nowMs < SECONDS * 1_000; nowMs++) {
      while (!ends.isEmpty() && ends.peek().atMs() <= nowMs) {
        ends.remove();
        for (Call started : queue.release(ROUTE, nowMs * MS).run()) {
          start(started, nowMs, ends);
        }
      }
      for (Map.Entry<String, Integer> account : perSecond.entrySet()) {
        if (random.nextDouble() < account.getValue() / 1_000.0) {
          Call call = new Call(account.getKey());
          offer(queue, call, nowMs, ends);
          if (call.account().equals(leaving)) {
            leaves.add(new End(nowMs + 20, call));
          }
        }
      }
      while (!leaves.isEmpty() && leaves.get(0).atMs() <= nowMs) {
        queue.cancel(leaves.remove(0).call());
      }
    }
  }

  private void offer(AdmissionQueue<Call> queue, Call call, long nowMs, PriorityQueue<End> ends) {
    offered.merge(call.account(), 1, Integer::sum);
    CallClass callClass =
        new CallClass(
            ROUTE,
            CallRank.ofRequest(call.account().startsWith("low") ? 2 : 1),
            (nowMs + 300) * MS,
            (nowMs + 2_000) * MS,
            call.account());
    if (queue.offer(call, callClass, nowMs * MS).decision() == AdmissionResult.Decision.RUN) {
      start(call, nowMs, ends);
    }
  }

  private void start(Call call, long nowMs, PriorityQueue<End> ends) {
    served.merge(call.account(), 1, Integer::sum);
    ends.add(new End(nowMs + SERVICE_MS, call));
  }

  private double servedShare(String account) {
    return served.getOrDefault(account, 0) / (double) offered.get(account);
  }

  private double overallShare() {
    double servedCalls = served.values().stream().mapToInt(Integer::intValue).sum();
    return servedCalls / offered.values().stream().mapToInt(Integer::intValue).sum();
  }

  private static Map<String, Integer> smallAccounts(int perSecond) {
    Map<String, Integer> accounts = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      accounts.put("small-" + i, perSecond);
    }
    return accounts;
  }

  /** Guards against an account that sends many times its usual and takes the room of others. */
  @Test
  void hotAccountTakesOnlyWhatOthersLeave() {
    Map<String, Integer> accounts = smallAccounts(8);
    accounts.put("hot", 200);
    play(accounts, "");
    for (int i = 0; i < 8; i++) {
      double share = servedShare("small-" + i);
      assertTrue(share > 1.5 * overallShare(), share + " of " + overallShare());
    }
    assertTrue(served.get("hot") > 0);
  }

  /** Guards against a large account that gets nothing since small ones alone fill the target. */
  @Test
  void noAccountIsServedLessThanQuarterAsOftenAsAll() {
    Map<String, Integer> accounts = smallAccounts(18);
    accounts.put("large", 60);
    play(accounts, "");
    for (String account : accounts.keySet()) {
      double share = servedShare(account);
      assertTrue(share > 0.25 * overallShare(), account + " " + share + " of " + overallShare());
    }
  }

  /** Guards against strict priority under which requests of a low priority get nothing. */
  @Test
  void accountOfLowPriorityIsServedAtLeastQuarterAsOftenAsAll() {
    Map<String, Integer> accounts = smallAccounts(18);
    accounts.put("low", 30);
    play(accounts, "");
    double share = servedShare("low");
    assertTrue(share > 0.25 * overallShare(), share + " of " + overallShare());
    assertTrue(share < 0.8 * overallShare(), "priority " + share);
  }

  /** Guards against slots that stay empty for clients which left the queue. */
  @Test
  void clientsThatLeaveDoNotTakeTheRoomOfOthers() {
    Map<String, Integer> accounts = smallAccounts(10);
    accounts.put("leaving", 200);
    play(accounts, "leaving");
    for (int i = 0; i < 8; i++) {
      assertTrue(servedShare("small-" + i) > 0.6, "share " + servedShare("small-" + i));
    }
  }
}
