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
 * limits that it is asked for, grants them in the order of the asks, and tells the requests that
 * get none when the limit will have room.
 */
final class Collector {

  private static final long MS = 1_000_000L;
  private static final long HOLD_NANOS = 100 * MS;
  private static final long PULL_TIMEOUT_NANOS = 300 * MS;
  private static final long MAX_REPLY_NANOS = 5_000 * MS;
  private static final long MIN_PULL_INTERVAL_NANOS = 250 * MS;
  private static final long ACTIVE_NANOS = 3_000 * MS;
  // Limits that will need tokens in this time are added to a pull for another one.
  private static final double PULLED_HORIZON_S = 1;
  private static final double STOCK_HORIZON_S = 0.25;
  private static final int MAX_SPACING_MS = 60_000;
  private static final int MAX_PENDING_PULLS = 128;
  private static final double YIELD_SMOOTHING_FACTOR = 0.1;
  private static final double MIN_YIELD = 0.05;
  private static final double SPARE_STOCK_SHARE = 0.25;

  private final SharedLimiter.Sender sender;
  private final LongSupplier numbers;
  private final Map<String, Collecting> collections = new HashMap<>();
  private final Map<Long, PendingPull> pendingPulls = new HashMap<>();
  private final Map<String, Long> pulledNanos = new HashMap<>();
  private final Deque<String> others = new ArrayDeque<>();

  /** Recipient of the reply to an ask. */
  @FunctionalInterface
  interface GrantReply {
    void send(LimitMessage.Grant grant, long nowNanos);
  }

  // Pulls without a reply that are not overdue.
  private int pullsInTime;

  /** Ask that waits for tokens. */
  private record QueuedAsk(LimitMessage.Ask ask, GrantReply reply, long receivedNanos) {}

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
    final Deque<QueuedAsk> queue = new ArrayDeque<>();
    final DemandRate demand = new DemandRate();
    final DemandRate refusedAsks = new DemandRate();
    final long sinceNanos;
    long askedNanos;
    long returnNanos;
    long queuedRequests;
    long pulling;
    // Received tokens in relation to what the pulled nodes have produced.
    double yield = 1;

    Collecting(LimitState limit, long nowNanos) {
      this.limit = limit;
      this.sinceNanos = nowNanos;
      this.returnNanos = nowNanos;
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
    return collection != null && !collection.queue.isEmpty();
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
  void ask(LimitState limit, LimitMessage.Ask ask, GrantReply reply, int nodes, long nowNanos) {
    Collecting collection =
        collections.computeIfAbsent(limit.name, name -> new Collecting(limit, nowNanos));
    collection.askedNanos = nowNanos;
    collection.demand.record(ask.waiting(), nowNanos);
    collection.queue.add(new QueuedAsk(ask, reply, nowNanos));
    collection.queuedRequests += ask.waiting();
    serve(collection, nowNanos);
    pull(collection, nodes, nowNanos);
    refuseWithoutPromise(collection, nodes, nowNanos);
  }

  private void serve(Collecting collection, long nowNanos) {
    while (!collection.queue.isEmpty()) {
      QueuedAsk head = collection.queue.peek();
      long needed = head.ask().waiting() * TokenStock.TOKEN;
      if (collection.limit.stock.total() < needed) {
        return;
      }
      collection.queue.remove();
      collection.queuedRequests -= head.ask().waiting();
      long spare = spare(collection, head, needed);
      collection.demand.record((double) spare / TokenStock.TOKEN, nowNanos);
      reply(collection, head, needed + spare, 0, 0, nowNanos);
    }
  }

  private static long spare(Collecting collection, QueuedAsk ask, long needed) {
    long free =
        collection.limit.stock.total() - needed - collection.queuedRequests * TokenStock.TOKEN;
    long whole = (long) (free * SPARE_STOCK_SHARE) / TokenStock.TOKEN;
    return Math.max(0, Math.min(whole, ask.ask().spare())) * TokenStock.TOKEN;
  }

  private void reply(
      Collecting collection,
      QueuedAsk ask,
      long amount,
      int retryAfterMs,
      int spacingMs,
      long nowNanos) {
    List<Portion> portions = amount > 0 ? collection.limit.stock.take(amount, nowNanos) : List.of();
    LimitMessage.Grant grant =
        new LimitMessage.Grant(
            ask.ask().number(), collection.limit.name, portions, retryAfterMs, spacingMs);
    ask.reply().send(grant, nowNanos);
  }

  // Refuses the newest asks, for which no tokens can arrive in the time that they may be held.
  private void refuseWithoutPromise(Collecting collection, int nodes, long nowNanos) {
    if (collection.queue.isEmpty()) {
      return;
    }
    double produced = collection.limit.policy().tokensPerS() * HOLD_NANOS / 1e9;
    long expected =
        collection.limit.stock.total()
            + collection.pulling
            + (long) (produced * TokenStock.TOKEN)
            + pullable(collection, nodes, nowNanos);
    while (!collection.queue.isEmpty() && collection.queuedRequests * TokenStock.TOKEN > expected) {
      refuse(collection, collection.queue.removeLast(), nowNanos);
    }
  }

  private void refuse(Collecting collection, QueuedAsk ask, long nowNanos) {
    int requests = ask.ask().waiting();
    collection.queuedRequests -= requests;
    long freeTokens = collection.limit.stock.total() / TokenStock.TOKEN - collection.queuedRequests;
    int granted = (int) Math.max(0, Math.min(requests, freeTokens));
    double tokensPerS = collection.limit.policy().tokensPerS();
    long intervalNanos = (long) (1e9 / tokensPerS);
    long missing = Math.max(0, -freeTokens);
    long atNanos =
        Math.max(collection.returnNanos, nowNanos + missing * intervalNanos) + intervalNanos;
    int retryAfterMs = (int) Math.max(1, (atNanos - nowNanos + MS - 1) / MS);
    if (retryAfterMs <= ask.ask().maxWaitMs()) {
      collection.returnNanos = atNanos + Math.max(0, requests - granted - 1) * intervalNanos;
    }
    // Each node that is full asks about once in the time for which it refuses on its own.
    collection.refusedAsks.record(1, nowNanos);
    double fullNodes = Math.max(1, collection.refusedAsks.perS(nowNanos) * HOLD_NANOS / 1e9);
    int spacingMs = (int) Math.max(1, Math.min(MAX_SPACING_MS, fullNodes * intervalNanos / MS));
    reply(collection, ask, granted * TokenStock.TOKEN, retryAfterMs, spacingMs, nowNanos);
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
      ageNanos = Math.min(lifetimeNanos, nowNanos - pulled);
      if (nowNanos - pulled < Math.max(MIN_PULL_INTERVAL_NANOS, lifetimeNanos / 4)) {
        return 0;
      }
    }
    double tokens = collection.limit.policy().tokensPerS() / Math.max(1, nodes) * ageNanos / 1e9;
    return tokens * TokenStock.TOKEN * Math.max(MIN_YIELD, collection.yield);
  }

  private void pull(Collecting collection, int nodes, long nowNanos) {
    long missing = missing(collection, STOCK_HORIZON_S, nowNanos);
    int left = others.size();
    while (missing > 0 && left > 0 && pullsInTime < MAX_PENDING_PULLS) {
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

  private static long missing(Collecting collection, double horizonS, long nowNanos) {
    double perS = collection.demand.perS(nowNanos);
    long target = (long) ((collection.queuedRequests + perS * horizonS) * TokenStock.TOKEN);
    return target - collection.limit.stock.total() - collection.pulling;
  }

  private void send(Collecting collection, String node, long expected, int nodes, long nowNanos) {
    long number = numbers.getAsLong();
    pendingPulls.put(number, new PendingPull(collection.limit.name, expected, nowNanos));
    pullsInTime++;
    pulledNanos.put(node, nowNanos);
    collection.pulling += expected;
    List<String> names = new ArrayList<>();
    for (Collecting each : collections.values()) {
      if (each == collection || missing(each, PULLED_HORIZON_S, nowNanos) > 0) {
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
      pullsInTime--;
      ended(pull, received);
    }
    for (Collecting collection : new ArrayList<>(collections.values())) {
      serve(collection, nowNanos);
    }
    Collecting collection = collections.get(pull.limit);
    if (collection != null && !collection.queue.isEmpty()) {
      pull(collection, nodes, nowNanos);
      refuseWithoutPromise(collection, nodes, nowNanos);
    }
  }

  private void ended(PendingPull pull, long received) {
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
    pendingPulls.values().removeIf(each -> nowNanos - each.sentNanos > MAX_REPLY_NANOS);
    for (PendingPull pull : pendingPulls.values()) {
      if (!pull.overdue && nowNanos - pull.sentNanos > PULL_TIMEOUT_NANOS) {
        pull.overdue = true;
        pullsInTime--;
        ended(pull, 0);
      }
    }
    for (Collecting collection : new ArrayList<>(collections.values())) {
      collection.limit.update(nodes, nowNanos);
      serve(collection, nowNanos);
      refuseOverdue(collection, nowNanos);
      if (collection.queue.isEmpty() && nowNanos - collection.askedNanos > ACTIVE_NANOS) {
        collections.remove(collection.limit.name);
      } else {
        pull(collection, nodes, nowNanos);
      }
    }
  }

  private void refuseOverdue(Collecting collection, long nowNanos) {
    QueuedAsk head = collection.queue.peek();
    while (head != null && nowNanos - head.receivedNanos() > HOLD_NANOS) {
      refuse(collection, collection.queue.remove(), nowNanos);
      head = collection.queue.peek();
    }
  }
}
