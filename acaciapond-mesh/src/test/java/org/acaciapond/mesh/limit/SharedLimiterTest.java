package org.acaciapond.mesh.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SharedLimiterTest {

  private static final long MS = LimiterFleet.MS;
  private static final long S = 1_000 * MS;
  private static final LimitBounds BOUNDS = new LimitBounds(5_000, 0.1, 20);
  private static final long WINDOW_NANOS = 5 * S;

  private static void load(LimiterFleet fleet, double perS, int hotNodes) {
    double intervalS = -Math.log(1 - fleet.random.nextDouble()) / perS;
    fleet.schedule(
        (long) (intervalS * 1e9),
        () -> {
          fleet.nodes.get(fleet.random.nextInt(hotNodes)).request();
          load(fleet, perS, hotNodes);
        });
  }

  private static void assertWithin(LimiterFleet fleet, double rate, double burst, long fromNanos) {
    double bound = BOUNDS.maxInWindow(rate, burst);
    int largest = fleet.largestWindow(fromNanos, WINDOW_NANOS);
    assertTrue(largest <= bound, largest + " requests in a window, bound " + bound);
  }

  // Guards against refusals below a limit whose equal parts are far below one token per node.
  @ParameterizedTest
  @CsvSource({"70, 4, 2, 70", "70, 4, 2, 1", "70, 60, 30, 70", "70, 700, 700, 70", "10, 5, 0, 3"})
  void requestsBelowTheLimitAreGranted(int nodes, double rate, double burst, int hotNodes) {
    LimiterFleet fleet = new LimiterFleet(nodes, TokenPolicy.of(rate, burst, BOUNDS), 3);
    fleet.schedule(5 * S, () -> load(fleet, rate / 1.6, hotNodes));
    fleet.runUntil(45 * S);
    double refusedShare = (double) fleet.refused / (fleet.refused + fleet.granted);
    assertTrue(refusedShare < 0.02, "refused share " + refusedShare);
    assertWithin(fleet, rate, burst, 0);
  }

  // Guards against a hot account that gets more than its limit, or far less.
  @ParameterizedTest
  @CsvSource({"70, 4, 2, 70", "70, 60, 30, 70", "70, 60, 30, 2", "30, 300, 0, 30"})
  void hotAccountGetsItsLimit(int nodes, double rate, double burst, int hotNodes) {
    LimiterFleet fleet = new LimiterFleet(nodes, TokenPolicy.of(rate, burst, BOUNDS), 4);
    load(fleet, 5 * rate, hotNodes);
    fleet.runUntil(30 * S);
    assertWithin(fleet, rate, burst, 0);
    assertTrue(fleet.granted > 0.85 * rate * 30, "granted " + fleet.granted);
  }

  // Guards against an excess when connections, processes and hosts fail and messages are lost,
  // repeated or late.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void faultsNeverRaiseTheSum(long seed) {
    double rate = seed % 3 == 0 ? 4 : 80;
    double burst = seed % 2 == 0 ? rate : 0;
    TokenPolicy policy = TokenPolicy.of(rate, burst, BOUNDS);
    LimiterFleet fleet = new LimiterFleet(12, policy, seed);
    fleet.lostShare = 0.05;
    fleet.repeatedShare = 0.1;
    fleet.maxDelayNanos = seed % 4 == 0 ? 400 * MS : 20 * MS;
    load(fleet, 3 * rate, 12);
    injectFaults(fleet, policy);
    fleet.runUntil(120 * S);
    assertWithin(fleet, rate, burst, 0);
    assertTrue(fleet.granted > 0.2 * rate * 120, "granted " + fleet.granted);
  }

  private static void injectFaults(LimiterFleet fleet, TokenPolicy policy) {
    fleet.schedule(
        fleet.random.nextInt(500) * MS,
        () -> {
          LimiterFleet.Node node = fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size()));
          LimiterFleet.Node other = fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size()));
          switch (fleet.random.nextInt(5)) {
            case 0 -> fleet.cuts.add(node.name + ">" + other.name);
            case 1 -> {
              fleet.nodes.subList(0, 4).forEach(each -> isolate(fleet, each));
              fleet.schedule(3 * S, fleet.cuts::clear);
            }
            case 2 -> pause(fleet, node, false);
            case 3 -> pause(fleet, node, true);
            default -> node.restart(Map.of(LimiterFleet.LIMIT, policy));
          }
          fleet.connectAll();
          injectFaults(fleet, policy);
        });
  }

  private static void isolate(LimiterFleet fleet, LimiterFleet.Node node) {
    for (LimiterFleet.Node other : fleet.nodes.subList(4, fleet.nodes.size())) {
      fleet.cuts.add(node.name + ">" + other.name);
      fleet.cuts.add(other.name + ">" + node.name);
    }
  }

  private static void pause(LimiterFleet fleet, LimiterFleet.Node node, boolean clockStops) {
    if (node.paused) {
      return;
    }
    node.paused = true;
    long nanos = fleet.random.nextInt(6_000) * MS;
    fleet.schedule(
        nanos,
        () -> {
          if (clockStops) {
            node.clockOffsetNanos -= nanos;
            node.limiter.discardTokens(node.clock());
          }
          node.resume();
        });
  }

  // Guards against tokens of the former limit that outlast its change.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void loweredLimitBinds(long seed) {
    LimiterFleet fleet = new LimiterFleet(12, TokenPolicy.of(200, 200, BOUNDS), seed);
    load(fleet, 400, 12);
    TokenPolicy lowered = TokenPolicy.of(10, 5, BOUNDS);
    for (LimiterFleet.Node node : fleet.nodes) {
      fleet.schedule(
          10 * S + fleet.random.nextInt(2_500) * MS,
          () -> node.limiter.setPolicies(Map.of(LimiterFleet.LIMIT, lowered), node.clock()));
    }
    fleet.runUntil(40 * S);
    assertWithin(fleet, 10, 5, 12_500 * MS + WINDOW_NANOS);
  }

  // Guards against a failure domain that has nothing while it is cut off, and against nodes that
  // use what the other side produces.
  @Test
  void cutOffNodesKeepTheirPart() {
    LimiterFleet fleet = new LimiterFleet(12, TokenPolicy.of(60, 30, BOUNDS), 5);
    fleet.nodes.subList(0, 4).forEach(each -> isolate(fleet, each));
    fleet.connectAll();
    load(fleet, 200, 4);
    fleet.runUntil(20 * S);
    assertTrue(
        fleet.granted > 0.8 * 20 * 20 && fleet.granted < 1.1 * 20 * 20 + 30, "" + fleet.granted);
  }

  // Guards against messages between nodes without requests.
  @Test
  void idleNodesSendNothing() {
    LimiterFleet fleet = new LimiterFleet(3, TokenPolicy.of(60, 30, BOUNDS), 5);
    fleet.nodes.get(0).request();
    fleet.runUntil(10 * S);
    assertEquals(0, fleet.nodes.stream().filter(each -> each.limiter.isActive()).count());
  }
}
