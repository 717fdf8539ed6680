package org.acaciapond.sidecar.limit;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.account.RateLimit;
import org.acaciapond.mesh.limit.LimitBounds;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.limit.SharedLimiter;
import org.acaciapond.mesh.limit.SuspensionCheck;
import org.acaciapond.mesh.limit.TokenPolicy;
import org.acaciapond.mesh.route.DesiredStateHolder;
import org.acaciapond.mesh.route.RouteTable;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** Limits of the client accounts of the desired state in force, at one node. */
public final class AccountLimits {

  private static final int TICK_MS = 50;
  // An account is limited until none of its requests has been refused for this time.
  private static final long LIMITED_NANOS = 5_000_000_000L;

  private final Vertx vertx;
  private final DesiredStateHolder desiredState;
  private final LimitBounds bounds;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final SharedLimiter limiter;
  private final SuspensionCheck suspension = new SuspensionCheck();
  private final Map<String, LimitedAccount> limited = new HashMap<>();
  private @Nullable RouteTable table;
  private boolean hasLimits;
  private long timer = -1;

  /** Account whose requests were refused a short time ago. */
  private static final class LimitedAccount {
    long refused;
    long lastNanos;
  }

  /** Creates the limits of a node. */
  public AccountLimits(
      Vertx vertx,
      String nodeKey,
      SharedLimiter.Sender sender,
      DesiredStateHolder desiredState,
      LimitBounds bounds,
      EventLog log,
      NodeMetrics metrics,
      LongSupplier random,
      TimeSource time) {
    this.vertx = vertx;
    this.desiredState = desiredState;
    this.bounds = bounds;
    this.log = log;
    this.metrics = metrics;
    this.time = time;
    SharedLimiter.Sender counting =
        (node, message) -> {
          metrics.countLimitMessage(message);
          sender.send(node, message);
        };
    this.limiter = new SharedLimiter(nodeKey, counting, random.getAsLong());
  }

  /**
   * Obtains a token for a request of an account.
   *
   * @param maxWaitMs longest time after which the client of a refused request comes back
   */
  public void acquire(ClientAccount account, int maxWaitMs, SharedLimiter.Waiter waiter) {
    long nowNanos = update();
    limiter.acquire(account.name(), maxWaitMs, recording(account.name(), waiter), nowNanos);
    startTimer();
  }

  private SharedLimiter.Waiter recording(String account, SharedLimiter.Waiter waiter) {
    return new SharedLimiter.Waiter() {
      @Override
      public void granted(long producedNanos) {
        metrics.countLimitedRequest(true);
        waiter.granted(producedNanos);
      }

      @Override
      public void refused(int retryAfterMs) {
        metrics.countLimitedRequest(false);
        recordRefusal(account, retryAfterMs);
        waiter.refused(retryAfterMs);
      }
    };
  }

  private void recordRefusal(String account, int retryAfterMs) {
    LimitedAccount state = limited.get(account);
    if (state == null) {
      state = new LimitedAccount();
      limited.put(account, state);
      log.event("account_limited", "account", account, "retry_after_ms", retryAfterMs);
    }
    state.refused++;
    state.lastNanos = time.nanoTime();
  }

  /**
   * Takes a token for a repeat of a request of an account; returns its production time, or nothing
   * if there is none.
   */
  public OptionalLong tryTake(ClientAccount account) {
    return limiter.tryTake(account.name(), update());
  }

  /** Returns the token of a request that no target has run. */
  public void giveBack(ClientAccount account, long producedNanos) {
    limiter.giveBack(account.name(), producedNanos, update());
  }

  /** Returns whether there are accounts with a limit. */
  public boolean hasLimits() {
    update();
    return hasLimits;
  }

  /** Replaces the connected nodes and the number of all nodes, 0 while it is not known. */
  public void setMembers(Collection<String> connected, int nodes) {
    limiter.setMembers(connected, nodes);
  }

  /** Handles a message of a peer. */
  public void accept(String peer, LimitMessage message) {
    limiter.receive(peer, message, update());
    startTimer();
  }

  // Applies what changed since the last call; tokens are only used after this.
  private long update() {
    long nowNanos = time.nanoTime();
    if (suspension.isSuspected(nowNanos, time.now().toEpochMilli())) {
      limiter.discardTokens(nowNanos);
    }
    RouteTable current = desiredState.current();
    if (current != null && current != table) {
      table = current;
      setPolicies(current, nowNanos);
    }
    return nowNanos;
  }

  private void setPolicies(RouteTable current, long nowNanos) {
    Map<String, TokenPolicy> policies = new HashMap<>();
    for (ClientAccount account : current.state().accounts().accounts()) {
      RateLimit limit = account.limit();
      if (limit.isLimited()) {
        policies.put(account.name(), TokenPolicy.of(limit.requestsPerS(), limit.burst(), bounds));
      }
    }
    hasLimits = !policies.isEmpty();
    limiter.setPolicies(policies, nowNanos);
  }

  private void startTimer() {
    if (timer < 0 && needsTicks()) {
      timer = vertx.setPeriodic(TICK_MS, id -> tick());
    }
  }

  private boolean needsTicks() {
    return limiter.isActive() || !limited.isEmpty();
  }

  private void tick() {
    long nowNanos = update();
    limiter.tick(nowNanos);
    limited.entrySet().removeIf(each -> hasEnded(each.getKey(), each.getValue(), nowNanos));
    if (!needsTicks()) {
      vertx.cancelTimer(timer);
      timer = -1;
    }
  }

  private boolean hasEnded(String account, LimitedAccount state, long nowNanos) {
    boolean ended = nowNanos - state.lastNanos > LIMITED_NANOS;
    if (ended) {
      log.event("account_limit_ended", "account", account, "refused", state.refused);
    }
    return ended;
  }
}
