package org.acaciapond.mesh.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Asks for tokens of one limit at the node that collects them. They are granted in their order;
 * those that cannot be granted in time are told when the limit will have room, one return after the
 * other at the rate at which tokens are produced.
 */
final class AskQueue {

  private static final long MS = 1_000_000L;
  private static final int MAX_SPACING_MS = 60_000;
  private static final double SPARE_STOCK_SHARE = 0.25;

  private final LimitState limit;
  private final Deque<QueuedAsk> queue = new ArrayDeque<>();
  private final DemandRate demand = new DemandRate();
  private final DemandRate refusedAsks = new DemandRate();
  private long askedNanos;
  private long returnNanos;
  private long queuedRequests;

  /**
   * Supply of tokens.
   *
   * @param tokensPerS tokens that the nodes in reach produce
   * @param refusalNanos time for which a node refuses on its own before it asks again
   */
  record Supply(double tokensPerS, long refusalNanos) {}

  /** Recipient of the reply to an ask. */
  @FunctionalInterface
  interface GrantReply {
    void send(LimitMessage.Grant grant, long nowNanos);
  }

  /** Ask that waits for tokens. */
  private record QueuedAsk(LimitMessage.Ask ask, GrantReply reply, long receivedNanos) {}

  AskQueue(LimitState limit, long nowNanos) {
    this.limit = limit;
    this.returnNanos = nowNanos;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Returns the time of the latest ask. */
  long askedNanos() {
    return askedNanos;
  }

  void add(LimitMessage.Ask ask, GrantReply reply, long nowNanos) {
    askedNanos = nowNanos;
    demand.record(ask.waiting(), nowNanos);
    queue.add(new QueuedAsk(ask, reply, nowNanos));
    queuedRequests += ask.waiting();
  }

  /**
   * Returns the amount that the waiting requests and those of the next time lack, or less than 0.
   */
  long missing(double horizonS, long nowNanos) {
    double expected = queuedRequests + demand.perS(nowNanos) * horizonS;
    return (long) (expected * TokenStock.TOKEN) - limit.stock.total();
  }

  /** Grants the asks for which there are tokens. */
  void serve(long nowNanos) {
    while (!queue.isEmpty()) {
      QueuedAsk head = queue.peek();
      long needed = head.ask().waiting() * TokenStock.TOKEN;
      if (limit.stock.total() < needed) {
        return;
      }
      queue.remove();
      queuedRequests -= head.ask().waiting();
      long spare = spare(head.ask(), needed);
      demand.record((double) spare / TokenStock.TOKEN, nowNanos);
      reply(head, needed + spare, 0, 0, nowNanos);
    }
  }

  private long spare(LimitMessage.Ask ask, long needed) {
    long free = limit.stock.total() - needed - queuedRequests * TokenStock.TOKEN;
    long whole = (long) (free * SPARE_STOCK_SHARE) / TokenStock.TOKEN;
    return Math.max(0, Math.min(whole, ask.spare())) * TokenStock.TOKEN;
  }

  private void reply(QueuedAsk ask, long amount, int retryAfterMs, int spacingMs, long nowNanos) {
    List<Portion> portions = amount > 0 ? limit.stock.take(amount, nowNanos) : List.of();
    LimitMessage.Grant grant =
        new LimitMessage.Grant(ask.ask().number(), limit.name, portions, retryAfterMs, spacingMs);
    ask.reply().send(grant, nowNanos);
  }

  /**
   * Refuses the newest asks beyond what can be granted.
   *
   * @param expected amount that will be in stock in time
   * @param supply what the nodes in reach produce
   */
  void refuseBeyond(long expected, Supply supply, long nowNanos) {
    while (!queue.isEmpty() && queuedRequests * TokenStock.TOKEN > expected) {
      refuse(queue.removeLast(), supply, nowNanos);
    }
  }

  /** Refuses the asks that have waited for a time. */
  void refuseOverdue(long holdNanos, Supply supply, long nowNanos) {
    while (!queue.isEmpty() && nowNanos - queue.peek().receivedNanos() > holdNanos) {
      refuse(queue.remove(), supply, nowNanos);
    }
  }

  private void refuse(QueuedAsk ask, Supply supply, long nowNanos) {
    int requests = ask.ask().waiting();
    queuedRequests -= requests;
    long freeTokens = limit.stock.total() / TokenStock.TOKEN - queuedRequests;
    int granted = (int) Math.max(0, Math.min(requests, freeTokens));
    long intervalNanos =
        (long) Math.min(LimitState.MAX_RETRY_AFTER_MS * MS, 1e9 / supply.tokensPerS());
    long queuedNanos = Math.max(0, -freeTokens) * intervalNanos;
    long atNanos = Math.max(returnNanos, nowNanos + queuedNanos) + intervalNanos;
    long exactMs = Math.max(1, (atNanos - nowNanos + MS - 1) / MS);
    int retryAfterMs = (int) Math.min(LimitState.MAX_RETRY_AFTER_MS, exactMs);
    if (retryAfterMs <= ask.ask().maxWaitMs()) {
      returnNanos = atNanos + Math.max(0, requests - granted - 1) * intervalNanos;
    }
    refusedAsks.record(1, nowNanos);
    double fullNodes = Math.max(1, refusedAsks.perS(nowNanos) * supply.refusalNanos() / 1e9);
    int spacingMs = (int) Math.max(1, Math.min(MAX_SPACING_MS, fullNodes * intervalNanos / MS));
    reply(ask, granted * TokenStock.TOKEN, retryAfterMs, spacingMs, nowNanos);
  }
}
