package org.acaciapond.mesh.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Collecting side of the shared limits at one node: pulls tokens from the other nodes for the
 * limits that it is asked for.
 */
final class Collector {

  private static final long MS = 1_000_000L;
  private static final long HOLD_NANOS = 100 * MS;
  private static final long PULL_TIMEOUT_NANOS = 300 * MS;
  private static final long MAX_REPLY_NANOS = 5_000 * MS;
  private static final long MIN_PULL_INTERVAL_NANOS = 250 * MS;
  private static final int PULLS_PER_LIFETIME = 4;
  private static final long ACTIVE_NANOS = 3_000 * MS;
  // Limits that will need tokens in this time are added to a pull for another one.
  private static final double PULLED_HORIZON_S = 1;
  private static final double STOCK_HORIZON_S = 0.25;
  private static final int MAX_PULLS_IN_TIME = 128;
  private static final double YIELD_SMOOTHING_FACTOR = 0.1;
  private static final double MIN_YIELD = 0.05;

  private final SharedLimiter.Sender sender;
  private final LongSupplier numbers;
  private final Map<String, Collecting> collections = new HashMap<>();
  private final Map<Long, PendingPull> pendingPulls = new HashMap<>();
  private final Map<String, Long> pulledNanos = new HashMap<>();
  private final Deque<String> others = new ArrayDeque<>();
  // Pulls without a reply that are not overdue.
  private int pullsInTime;

  /** Pull without a reply; a late reply still delivers its tokens. */
  private static final class PendingPull {
    final String limit;
    final long expected;
    final long sentNanos;
    boolean overdue;

    PendingPull(String limit, long expected, long sentNanos) {
      this.limit = limit;
      this.expected = expected;
      this.sentNanos = sentNanos;
    }
  }

  /** Collection of the tokens of one limit. */
  private static final class Collecting {
    final LimitState limit;
    final AskQueue asks;
    final long sinceNanos;
    long pulling;
    // Received tokens in relation to what the pulled nodes have produced.
    double yield = 1;

    Collecting(LimitState limit, long nowNanos) {
      this.limit = limit;
      this.asks = new AskQueue(limit, nowNanos);
      this.sinceNanos = nowNanos;
    }

    long missing(double horizonS, long nowNanos) {
      return asks.missing(horizonS, nowNanos) - pulling;
    }
  }

  Collector(SharedLimiter.Sender sender, LongSupplier numbers) {
    this.sender = sender;
    this.numbers = numbers;
  }

  void setOthers(Collection<String> nodes) {
    Set<String> added = new HashSet<>(nodes);
    others.forEach(added::remove);
    others.removeIf(node -> !nodes.contains(node));
    others.addAll(added);
    pulledNanos.keySet().retainAll(nodes);
  }

  boolean isActive() {
    return !collections.isEmpty();
  }

  boolean hasQueue(LimitState limit) {
    Collecting collection = collections.get(limit.name);
    return collection != null && !collection.asks.isEmpty();
  }

  void forget(LimitState limit) {
    collections.remove(limit.name);
  }

  void discardPulls() {
    pendingPulls.clear();
    pullsInTime = 0;
    collections.values().forEach(each -> each.pulling = 0);
  }

  /** Handles an ask; the reply follows at once or after a short time. */
  void ask(
      LimitState limit, LimitMessage.Ask ask, AskQueue.GrantReply reply, int nodes, long nowNanos) {
    Collecting collection =
        collections.computeIfAbsent(limit.name, name -> new Collecting(limit, nowNanos));
    collection.asks.add(ask, reply, nowNanos);
    collection.asks.serve(nowNanos);
    pull(collection, nodes, nowNanos);
    refuseWithoutPromise(collection, nodes, nowNanos);
  }

  // Refuses the asks for which no tokens can arrive in the time that they may be held.
  private void refuseWithoutPromise(Collecting collection, int nodes, long nowNanos) {
    if (collection.asks.isEmpty()) {
      return;
    }
    AskQueue.Supply supply = supply(collection, nodes);
    long expected =
        collection.limit.stock.total()
            + collection.pulling
            + (long) (supply.tokensPerS() * HOLD_NANOS / 1e9 * TokenStock.TOKEN)
            + pullable(collection, nodes, nowNanos);
    collection.asks.refuseBeyond(expected, supply, nowNanos);
  }

  private AskQueue.Supply supply(Collecting collection, int nodes) {
    double reachableShare = Math.min(1, (others.size() + 1.0) / Math.max(1, nodes));
    return new AskQueue.Supply(
        collection.limit.policy().tokensPerS() * reachableShare,
        collection.limit.refusalNanos(nodes));
  }

  private long pullable(Collecting collection, int nodes, long nowNanos) {
    double sum = 0;
    for (String node : others) {
      sum += expected(collection, node, nodes, nowNanos);
    }
    return (long) sum;
  }

  // Tokens that a node is likely to give, 0 if it has been pulled a short time ago.
  private double expected(Collecting collection, String node, int nodes, long nowNanos) {
    long lifetimeNanos = collection.limit.policy().lifetimeNanos();
    long ageNanos = lifetimeNanos;
    Long pulled = pulledNanos.get(node);
    if (pulled != null && pulled - collection.sinceNanos >= 0) {
      long intervalNanos = Math.max(MIN_PULL_INTERVAL_NANOS, lifetimeNanos / PULLS_PER_LIFETIME);
      if (nowNanos - pulled < intervalNanos) {
        return 0;
      }
      ageNanos = Math.min(lifetimeNanos, nowNanos - pulled);
    }
    double tokens = collection.limit.policy().tokensPerS() / Math.max(1, nodes) * ageNanos / 1e9;
    return tokens * TokenStock.TOKEN * Math.max(MIN_YIELD, collection.yield);
  }

  private void pull(Collecting collection, int nodes, long nowNanos) {
    long missing = collection.missing(STOCK_HORIZON_S, nowNanos);
    int left = others.size();
    while (missing > 0 && left > 0 && pullsInTime < MAX_PULLS_IN_TIME) {
      left--;
      String node = others.remove();
      others.add(node);
      double expected = expected(collection, node, nodes, nowNanos);
      if (expected > 0) {
        send(collection, node, (long) expected, nodes, nowNanos);
        missing -= (long) expected;
      }
    }
  }

  private void send(Collecting collection, String node, long expected, int nodes, long nowNanos) {
    long number = numbers.getAsLong();
    pendingPulls.put(number, new PendingPull(collection.limit.name, expected, nowNanos));
    pullsInTime++;
    pulledNanos.put(node, nowNanos);
    collection.pulling += expected;
    List<String> names = new ArrayList<>();
    for (Collecting each : collections.values()) {
      if (each == collection || each.missing(PULLED_HORIZON_S, nowNanos) > 0) {
        names.add(each.limit.name);
      }
    }
    sender.send(node, new LimitMessage.Pull(number, names, nodes));
  }

  /** Adds the tokens of a reply to a pull. */
  void onSurpluses(
      LimitMessage.Surpluses surpluses, Map<String, LimitState> limits, int nodes, long nowNanos) {
    PendingPull pull = pendingPulls.remove(surpluses.number());
    if (pull == null) {
      return;
    }
    long received = 0;
    for (LimitMessage.Surplus surplus : surpluses.surpluses()) {
      LimitState limit = limits.get(surplus.limit());
      if (limit != null) {
        limit.update(nodes, nowNanos);
        limit.addReceived(surplus.portions(), pull.sentNanos, nowNanos);
      }
      if (surplus.limit().equals(pull.limit)) {
        received = surplus.portions().stream().mapToLong(Portion::microTokens).sum();
      }
    }
    if (!pull.overdue) {
      ended(pull, received);
    }
    for (Collecting collection : new ArrayList<>(collections.values())) {
      collection.asks.serve(nowNanos);
    }
    Collecting collection = collections.get(pull.limit);
    if (collection != null && !collection.asks.isEmpty()) {
      pull(collection, nodes, nowNanos);
      refuseWithoutPromise(collection, nodes, nowNanos);
    }
  }

  private void ended(PendingPull pull, long received) {
    pullsInTime--;
    Collecting collection = collections.get(pull.limit);
    if (collection != null) {
      collection.pulling = Math.max(0, collection.pulling - pull.expected);
      double base = pull.expected / Math.max(MIN_YIELD, collection.yield);
      double ratio = Math.min(1, received / Math.max(1, base));
      collection.yield += YIELD_SMOOTHING_FACTOR * (ratio - collection.yield);
    }
  }

  /** Refuses asks that have waited too long, ends pulls and keeps a small stock. */
  void tick(int nodes, long nowNanos) {
    for (PendingPull pull : pendingPulls.values()) {
      if (!pull.overdue && nowNanos - pull.sentNanos > PULL_TIMEOUT_NANOS) {
        pull.overdue = true;
        ended(pull, 0);
      }
    }
    pendingPulls.values().removeIf(each -> nowNanos - each.sentNanos > MAX_REPLY_NANOS);
    for (Collecting collection : new ArrayList<>(collections.values())) {
      collection.limit.update(nodes, nowNanos);
      collection.asks.serve(nowNanos);
      collection.asks.refuseOverdue(HOLD_NANOS, supply(collection, nodes), nowNanos);
      if (collection.asks.isEmpty() && nowNanos - collection.asks.askedNanos() > ACTIVE_NANOS) {
        collections.remove(collection.limit.name);
      } else {
        pull(collection, nodes, nowNanos);
      }
    }
  }
}
