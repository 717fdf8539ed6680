package org.acaciapond.mesh.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Nodes with limiters in virtual time, on links that lose, repeat and delay messages. */
final class LimiterFleet {

  static final long MS = 1_000_000L;
  static final String LIMIT = "account";
  private static final long TICK_NANOS = 50 * MS;

  final List<Node> nodes = new ArrayList<>();
  final List<Long> spentNanos = new ArrayList<>();
  final Set<String> cuts = new HashSet<>();
  final Random random;
  double lostShare;
  double repeatedShare;
  long maxDelayNanos = 3 * MS;
  long nowNanos;
  int granted;
  int refused;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private long order;

  private record Event(long atNanos, long order, Runnable action) {}

  /** Node whose clock has an origin of its own and stands still while its host is suspended. */
  final class Node {
    final String name;
    final Map<String, TokenPolicy> initial;
    SharedLimiter limiter;
    long clockOffsetNanos = random.nextLong() >> 8;
    int incarnation;
    boolean paused;
    final List<Runnable> heldMessages = new ArrayList<>();

    Node(String name, Map<String, TokenPolicy> initial) {
      this.name = name;
      this.initial = initial;
      restart(initial);
    }

    long clock() {
      return nowNanos + clockOffsetNanos;
    }

    void restart(Map<String, TokenPolicy> policies) {
      incarnation++;
      heldMessages.clear();
      limiter =
          new SharedLimiter(name, (to, message) -> transmit(this, to, message), random.nextInt());
      limiter.setPolicies(policies, clock());
    }

    void request() {
      if (paused) {
        return;
      }
      int sentBy = incarnation;
      limiter.acquire(
          LIMIT,
          500,
          new SharedLimiter.Waiter() {
            @Override
            public void granted(long producedNanos) {
              if (sentBy == incarnation) {
                spentNanos.add(nowNanos);
                granted++;
              }
            }

            @Override
            public void refused(int retryAfterMs) {
              refused++;
            }
          },
          clock());
    }

    void resume() {
      paused = false;
      List<Runnable> held = new ArrayList<>(heldMessages);
      heldMessages.clear();
      held.forEach(Runnable::run);
    }

    private void tick() {
      if (!paused) {
        limiter.tick(clock());
      }
      schedule(TICK_NANOS, this::tick);
    }
  }

  LimiterFleet(int count, TokenPolicy policy, long seed) {
    random = new Random(seed);
    for (int i = 0; i < count; i++) {
      Node node = new Node("n" + i, Map.of(LIMIT, policy));
      nodes.add(node);
      schedule(random.nextInt((int) TICK_NANOS), node::tick);
    }
    connectAll();
  }

  /** Tells each node which others it can reach; a cut one way ends the connection both ways. */
  void connectAll() {
    for (Node node : nodes) {
      Set<String> others = new HashSet<>();
      for (Node other : nodes) {
        if (other != node && !isCut(node, other) && !isCut(other, node)) {
          others.add(other.name);
        }
      }
      node.limiter.setMembers(others, nodes.size());
    }
  }

  private boolean isCut(Node from, Node to) {
    return cuts.contains(from.name + ">" + to.name);
  }

  void schedule(long afterNanos, Runnable action) {
    events.add(new Event(nowNanos + afterNanos, order++, action));
  }

  private void transmit(Node from, String toName, LimitMessage message) {
    Node to = nodes.stream().filter(each -> each.name.equals(toName)).findFirst().orElseThrow();
    int copies = random.nextDouble() < repeatedShare ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (!isCut(from, to) && random.nextDouble() >= lostShare) {
        long delayNanos = (long) (random.nextDouble() * maxDelayNanos);
        schedule(delayNanos, () -> deliver(from, to, message));
      }
    }
  }

  private void deliver(Node from, Node to, LimitMessage message) {
    if (to.paused) {
      to.heldMessages.add(() -> to.limiter.receive(from.name, message, to.clock()));
    } else {
      to.limiter.receive(from.name, message, to.clock());
    }
  }

  void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
      Event event = events.remove();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = untilNanos;
  }

  /** Returns the largest number of requests in a sliding window that starts at or after a time. */
  int largestWindow(long fromNanos, long windowNanos) {
    int largest = 0;
    int first = 0;
    for (int last = 0; last < spentNanos.size(); last++) {
      while (spentNanos.get(last) - spentNanos.get(first) >= windowNanos
          || spentNanos.get(first) < fromNanos) {
        if (first == last) {
          break;
        }
        first++;
      }
      if (spentNanos.get(last) >= fromNanos) {
        largest = Math.max(largest, last - first + 1);
      }
    }
    return largest;
  }
}
