package org.acaciapond.mesh.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Limits that all nodes keep together, at one node. Each node produces an equal part of the tokens
 * of each limit. A request needs a token; a node without one asks the node that collects the tokens
 * of the limit, which pulls from all others what they do not need. Tokens are never in two places
 * and expire, so the sum holds whatever is lost, delayed, paused or restarted, and whoever the
 * nodes take for the collecting one.
 */
public final class SharedLimiter {

  private static final long MS = 1_000_000L;
  private static final long ASK_TIMEOUT_NANOS = 250 * MS;
  private static final long MAX_WAIT_NANOS = 600 * MS;
  private static final long MAX_REPLY_NANOS = 5_000 * MS;
  private static final long AVOID_SILENT_COLLECTOR_NANOS = 2_000 * MS;
  private static final double SPARE_HORIZON_S = 0.3;
  private static final double RESERVE_HORIZON_S = 0.25;
  private static final int MAX_WAITING = 256;
  private static final double MIN_OWN_TOKENS = 3;

  private final String self;
  private final Sender sender;
  private final Map<String, LimitState> limits = new HashMap<>();
  private final Map<Long, PendingAsk> pendingAsks = new HashMap<>();
  private final Map<String, Long> silentUntilNanos = new HashMap<>();
  private final Collector collector;
  private Set<String> connected = new HashSet<>();
  private CollectorChoice choice;
  private int knownNodes;
  private long nextNumber;
  private boolean discarded;
  private long discardedNanos;

  /** Sender of messages to other nodes. */
  @FunctionalInterface
  public interface Sender {
    /** Sends a message, which may be lost. */
    void send(String node, LimitMessage message);
  }

  /** Request that waits for a token. */
  public interface Waiter {
    /**
     * Called when the request may be sent to a target.
     *
     * @param producedNanos production time of the token, needed to return it unused
     */
    void granted(long producedNanos);

    /**
     * Called when the limit has no room.
     *
     * @param retryAfterMs time after which it has room for this request
     */
    void refused(int retryAfterMs);
  }

  /** Ask without a reply; a late reply still delivers its tokens. */
  private static final class PendingAsk {
    final LimitState limit;
    final String collector;
    final long sentNanos;
    boolean overdue;

    PendingAsk(LimitState limit, String collector, long sentNanos) {
      this.limit = limit;
      this.collector = collector;
      this.sentNanos = sentNanos;
    }
  }

  /**
   * Creates a limiter without limits.
   *
   * @param firstNumber number of the first request to other nodes; differs between the processes of
   *     a node, so that a reply to an earlier one is not accepted
   */
  public SharedLimiter(String self, Sender sender, long firstNumber) {
    this.self = self;
    this.sender = sender;
    this.nextNumber = firstNumber;
    this.choice = new CollectorChoice(Set.of(self));
    this.collector = new Collector(sender, this::nextNumber);
  }

  private long nextNumber() {
    return nextNumber++;
  }

  /** Replaces the limits; a request that waits for a limit that is gone is granted. */
  public void setPolicies(Map<String, TokenPolicy> policies, long nowNanos) {
    Iterator<LimitState> states = limits.values().iterator();
    while (states.hasNext()) {
      LimitState limit = states.next();
      if (!policies.containsKey(limit.name)) {
        states.remove();
        collector.forget(limit);
        limit.drainWaiting().forEach(each -> each.waiter().granted(nowNanos));
      }
    }
    policies.forEach(
        (name, policy) -> {
          LimitState limit = limits.get(name);
          if (limit == null) {
            limits.put(name, new LimitState(name, policy, nowNanos));
          } else if (!limit.policy().equals(policy)) {
            limit.update(knownNodes, nowNanos);
            limit.setPolicy(policy);
          }
        });
  }

  /**
   * Replaces the members.
   *
   * @param others nodes that this one is connected to and that share limits
   * @param nodes number of all nodes, connected or not; 0 while it is not known, which stops the
   *     production of tokens
   */
  public void setMembers(Collection<String> others, int nodes) {
    knownNodes = nodes == 0 ? 0 : Math.max(knownNodes, nodes);
    Set<String> current = new HashSet<>(others);
    if (!connected.equals(current)) {
      connected = current;
      collector.setOthers(connected);
      choose();
    }
  }

  private void choose() {
    Set<String> nodes = new HashSet<>(connected);
    nodes.removeAll(silentUntilNanos.keySet());
    nodes.add(self);
    choice = new CollectorChoice(nodes);
  }

  /** Returns whether a name has a limit. */
  public boolean isLimited(String limit) {
    return limits.containsKey(limit);
  }

  /** Returns whether anything waits for a message or is collected, so that ticks are needed. */
  public boolean isActive() {
    return !pendingAsks.isEmpty() || collector.isActive();
  }

  /**
   * Takes a token from those that this node holds; returns its production time, or nothing if there
   * is none.
   */
  public OptionalLong tryTake(String name, long nowNanos) {
    LimitState limit = limits.get(name);
    if (limit == null) {
      return OptionalLong.of(nowNanos);
    }
    limit.update(knownNodes, nowNanos);
    return limit.hasToken() ? OptionalLong.of(limit.stock.takeOne()) : OptionalLong.empty();
  }

  /** Returns the token of a request that no target has run. */
  public void giveBack(String name, long producedNanos, long nowNanos) {
    LimitState limit = limits.get(name);
    boolean discarded = this.discarded && producedNanos - discardedNanos <= 0;
    if (limit != null && !discarded) {
      limit.stock.add(producedNanos, TokenStock.TOKEN, limit.policy().lifetimeNanos());
      limit.update(knownNodes, nowNanos);
    }
  }

  /**
   * Obtains a token for a request.
   *
   * @param maxWaitMs longest time after which the client of a refused request comes back
   */
  public void acquire(String name, int maxWaitMs, Waiter waiter, long nowNanos) {
    LimitState limit = limits.get(name);
    if (limit == null) {
      waiter.granted(nowNanos);
      return;
    }
    limit.update(knownNodes, nowNanos);
    limit.localDemand.record(1, nowNanos);
    if (limit.waiting.isEmpty() && limit.hasToken()) {
      waiter.granted(limit.stock.takeOne());
    } else if (limit.noRoomUntilNanos - nowNanos > 0 || limit.waiting.size() >= MAX_WAITING) {
      waiter.refused(nextReturnMs(limit, nowNanos));
    } else {
      limit.waiting.add(new LimitState.Waiting(maxWaitMs, nowNanos, waiter));
      if (limit.askNumber < 0) {
        limit.askedBefore = false;
        ask(limit, nowNanos);
      }
    }
  }

  private static int nextReturnMs(LimitState limit, long nowNanos) {
    long at = Math.max(limit.nextReturnNanos, nowNanos) + Math.max(1, limit.spacingMs) * MS;
    limit.nextReturnNanos = at;
    return (int) Math.min(LimitState.MAX_RETRY_AFTER_MS, (at - nowNanos + MS - 1) / MS);
  }

  private void ask(LimitState limit, long nowNanos) {
    String node = choice.of(limit.name);
    LimitMessage.Ask ask =
        new LimitMessage.Ask(
            nextNumber(),
            limit.name,
            limit.waiting.size(),
            node.equals(self) ? 0 : spare(limit, nowNanos),
            limit.waiting.stream().mapToInt(LimitState.Waiting::maxWaitMs).max().orElse(0));
    limit.askNumber = ask.number();
    pendingAsks.put(ask.number(), new PendingAsk(limit, node, nowNanos));
    if (node.equals(self)) {
      collector.ask(limit, ask, this::onGrant, knownNodes, nowNanos);
    } else {
      sender.send(node, ask);
    }
  }

  // Tokens for the requests that the node's own production will not cover in the next time.
  private int spare(LimitState limit, long nowNanos) {
    double ownPerS = knownNodes == 0 ? 0 : limit.policy().tokensPerS() / knownNodes;
    double demandPerS = limit.localDemand.perS(nowNanos);
    double missing = (demandPerS - ownPerS) * SPARE_HORIZON_S;
    return (int) Math.max(0, missing);
  }

  /** Handles a message of another node. */
  public void receive(String node, LimitMessage message, long nowNanos) {
    if (message instanceof LimitMessage.Ask ask) {
      onAsk(node, ask, nowNanos);
    } else if (message instanceof LimitMessage.Grant grant) {
      onGrant(grant, nowNanos);
    } else if (message instanceof LimitMessage.Pull pull) {
      onPull(node, pull, nowNanos);
    } else if (message instanceof LimitMessage.Surpluses surpluses) {
      collector.onSurpluses(surpluses, limits, knownNodes, nowNanos);
    }
  }

  private void onAsk(String node, LimitMessage.Ask ask, long nowNanos) {
    LimitState limit = limits.get(ask.limit());
    if (limit != null && ask.waiting() > 0 && ask.waiting() <= MAX_WAITING) {
      limit.update(knownNodes, nowNanos);
      collector.ask(
          limit, ask, (grant, replyNanos) -> sender.send(node, grant), knownNodes, nowNanos);
    }
  }

  private void onGrant(LimitMessage.Grant grant, long nowNanos) {
    PendingAsk pending = pendingAsks.remove(grant.number());
    if (pending == null || limits.get(pending.limit.name) != pending.limit) {
      return;
    }
    LimitState limit = pending.limit;
    limit.update(knownNodes, nowNanos);
    limit.addReceived(grant.portions(), pending.sentNanos, nowNanos);
    if (pending.overdue) {
      grantWaiting(limit);
      return;
    }
    limit.askNumber = -1;
    grantWaiting(limit);
    if (limit.waiting.isEmpty()) {
      return;
    }
    if (grant.retryAfterMs() == 0) {
      // They came after the ask was sent.
      limit.askedBefore = false;
      ask(limit, nowNanos);
      return;
    }
    refuse(limit, grant.retryAfterMs(), grant.spacingMs(), nowNanos);
  }

  private static void grantWaiting(LimitState limit) {
    while (!limit.waiting.isEmpty() && limit.hasToken()) {
      long producedNanos = limit.stock.takeOne();
      limit.waiting.remove().waiter().granted(producedNanos);
    }
  }

  private void refuse(LimitState limit, int retryAfterMs, int spacingMs, long nowNanos) {
    limit.spacingMs = spacingMs;
    limit.nextReturnNanos = nowNanos + (retryAfterMs - spacingMs) * MS;
    limit.noRoomUntilNanos = nowNanos + Math.min(retryAfterMs * MS, limit.refusalNanos(knownNodes));
    for (LimitState.Waiting each : limit.drainWaiting()) {
      each.waiter().refused(nextReturnMs(limit, nowNanos));
    }
  }

  private void onPull(String node, LimitMessage.Pull pull, long nowNanos) {
    if (knownNodes > 0) {
      knownNodes = Math.max(knownNodes, pull.knownNodes());
    }
    List<LimitMessage.Surplus> surpluses = new ArrayList<>();
    for (String name : pull.limits()) {
      LimitState limit = limits.get(name);
      if (limit != null && !collector.hasQueue(limit)) {
        limit.update(knownNodes, nowNanos);
        long amount = limit.stock.total() - reserve(limit, nowNanos);
        if (amount > 0) {
          surpluses.add(new LimitMessage.Surplus(name, limit.stock.take(amount, nowNanos)));
        }
      }
    }
    sender.send(node, new LimitMessage.Surpluses(pull.number(), surpluses));
  }

  // A node whose production does not add up to whole tokens in their lifetime keeps no fraction.
  private long reserve(LimitState limit, long nowNanos) {
    long total = limit.stock.total();
    long expected =
        (long) (limit.localDemand.perS(nowNanos) * RESERVE_HORIZON_S * TokenStock.TOKEN);
    double lifetimeS = limit.policy().lifetimeNanos() / 1e9;
    double ownTokens = limit.policy().tokensPerS() * lifetimeS / Math.max(1, knownNodes);
    if (ownTokens >= MIN_OWN_TOKENS) {
      return Math.min(total, expected);
    }
    long whole = Math.min(total, expected + TokenStock.TOKEN / 2) / TokenStock.TOKEN;
    return whole * TokenStock.TOKEN;
  }

  /** Ends what has waited too long; called often while the limiter is active. */
  public void tick(long nowNanos) {
    if (silentUntilNanos.values().removeIf(until -> until - nowNanos <= 0)) {
      choose();
    }
    collector.tick(knownNodes, nowNanos);
    pendingAsks.values().removeIf(each -> nowNanos - each.sentNanos > MAX_REPLY_NANOS);
    for (LimitState limit : limits.values()) {
      LimitState.Waiting first = limit.waiting.peek();
      if (first != null && nowNanos - first.sinceNanos() > MAX_WAIT_NANOS) {
        refuseUnanswered(limit, nowNanos);
      }
    }
    for (PendingAsk pending : new ArrayList<>(pendingAsks.values())) {
      if (!pending.overdue && nowNanos - pending.sentNanos > ASK_TIMEOUT_NANOS) {
        pending.overdue = true;
        onAskTimeout(pending, nowNanos);
      }
    }
  }

  private void onAskTimeout(PendingAsk pending, long nowNanos) {
    if (!pending.collector.equals(self)) {
      silentUntilNanos.put(pending.collector, nowNanos + AVOID_SILENT_COLLECTOR_NANOS);
      choose();
    }
    LimitState limit = pending.limit;
    limit.askNumber = -1;
    if (limits.get(limit.name) != limit || limit.waiting.isEmpty()) {
      return;
    }
    if (!limit.askedBefore) {
      limit.askedBefore = true;
      ask(limit, nowNanos);
      return;
    }
    refuseUnanswered(limit, nowNanos);
  }

  // Without a reply, the node has room when its own production adds up to a token.
  private void refuseUnanswered(LimitState limit, long nowNanos) {
    limit.update(knownNodes, nowNanos);
    double exactMs = 1_000.0 * Math.max(1, knownNodes) / limit.policy().tokensPerS();
    int ownIntervalMs = (int) Math.min(LimitState.MAX_RETRY_AFTER_MS, exactMs + 1);
    refuse(limit, ownIntervalMs, ownIntervalMs, nowNanos);
  }

  /** Discards all tokens, because the clock did not count a suspension of the host. */
  public void discardTokens(long nowNanos) {
    discarded = true;
    discardedNanos = nowNanos;
    limits.values().forEach(limit -> limit.discard(nowNanos));
    pendingAsks.clear();
    collector.discardPulls();
    // A request that is refused here may be followed by one that applies new limits.
    for (LimitState limit : new ArrayList<>(limits.values())) {
      limit.askNumber = -1;
      limit.askedBefore = false;
      if (!limit.waiting.isEmpty()) {
        ask(limit, nowNanos);
      }
    }
  }
}
