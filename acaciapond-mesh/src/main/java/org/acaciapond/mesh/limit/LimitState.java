package org.acaciapond.mesh.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** One limit at one node: the tokens that it holds and the requests that wait for one. */
final class LimitState {

  /** Longest time that a refused client is told, one day. */
  static final int MAX_RETRY_AFTER_MS = 24 * 3_600 * 1_000;

  private static final int ACCRUALS_PER_LIFETIME = 8;
  private static final double MIN_ASKS_PER_S = 500;
  private static final double ASKS_PER_TOKEN = 4;
  private static final double MIN_REFUSAL_S = 0.1;
  private static final double MAX_REFUSAL_S = 2;

  final String name;
  final TokenStock stock = new TokenStock();
  // Requests at this node, and at the collecting node those of all nodes.
  final DemandRate localDemand = new DemandRate();
  final Deque<Waiting> waiting = new ArrayDeque<>();
  long askNumber = -1;
  boolean askedBefore;
  long noRoomUntilNanos;
  long nextReturnNanos;
  int spacingMs;
  private TokenPolicy policy;
  private long accruedNanos;

  /** Request that waits for a token. */
  record Waiting(int maxWaitMs, long sinceNanos, SharedLimiter.Waiter waiter) {}

  LimitState(String name, TokenPolicy policy, long nowNanos) {
    this.name = name;
    this.policy = policy;
    this.accruedNanos = nowNanos;
    this.noRoomUntilNanos = nowNanos;
    this.nextReturnNanos = nowNanos;
  }

  TokenPolicy policy() {
    return policy;
  }

  /** Applies a changed limit; tokens of a higher limit are reduced in proportion. */
  void setPolicy(TokenPolicy changed) {
    if (changed.tokensPerS() < policy.tokensPerS()) {
      stock.scale(changed.tokensPerS() / policy.tokensPerS());
    }
    policy = changed;
  }

  /**
   * Adds this node's part of the tokens that were produced since the last call and removes expired
   * ones.
   *
   * @param nodes number of nodes that produce tokens, 0 if it is not known
   */
  void update(int nodes, long nowNanos) {
    long lifetimeNanos = policy.lifetimeNanos();
    long fromNanos = Math.max(accruedNanos, nowNanos - lifetimeNanos);
    long stepNanos = Math.max(1, lifetimeNanos / ACCRUALS_PER_LIFETIME);
    while (nodes > 0 && fromNanos < nowNanos) {
      long toNanos = Math.min(nowNanos, fromNanos + stepNanos);
      double tokens = policy.tokensPerS() / nodes * ((toNanos - fromNanos) / 1e9);
      stock.add(fromNanos, (long) (tokens * TokenStock.TOKEN), lifetimeNanos);
      fromNanos = toNanos;
    }
    accruedNanos = Math.max(accruedNanos, nowNanos);
    stock.expire(nowNanos - lifetimeNanos);
  }

  /** Removes all tokens; production continues from now. */
  void discard(long nowNanos) {
    stock.clear();
    accruedNanos = nowNanos;
  }

  /**
   * Returns the time for which a node that got no token refuses further requests without asking, so
   * that the asks of many nodes do not load the collecting node.
   */
  long refusalNanos(int nodes) {
    double asksPerS = Math.max(MIN_ASKS_PER_S, ASKS_PER_TOKEN * policy.tokensPerS());
    return (long) (Math.max(MIN_REFUSAL_S, Math.min(MAX_REFUSAL_S, nodes / asksPerS)) * 1e9);
  }

  boolean hasToken() {
    return stock.total() >= TokenStock.TOKEN;
  }

  /**
   * Adds received tokens.
   *
   * @param requestedNanos time at which they were requested, which precedes the time at which the
   *     giver determined their age
   */
  void addReceived(List<Portion> portions, long requestedNanos, long nowNanos) {
    for (Portion portion : portions) {
      long producedNanos = requestedNanos - portion.ageMs() * 1_000_000L;
      if (portion.microTokens() > 0 && portion.ageMs() >= 0) {
        stock.add(producedNanos, portion.microTokens(), policy.lifetimeNanos());
      }
    }
    stock.expire(nowNanos - policy.lifetimeNanos());
  }

  List<Waiting> drainWaiting() {
    List<Waiting> drained = new ArrayList<>(waiting);
    waiting.clear();
    return drained;
  }
}
