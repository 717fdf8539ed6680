package org.acaciapond.sidecar.call;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.limit.SharedLimiter;
import org.acaciapond.sidecar.limit.AccountLimits;

/** Request of an account with a limit until the limit has room for it or it is refused. */
final class LimitedRequest implements SharedLimiter.Waiter {

  private final HttpExchange exchange;
  private final AccountLimits limits;
  private final ClientAccount account;
  private final Consumer<RequestTokens> onGranted;
  private final IntConsumer onRefused;
  private final Runnable onClientLeft;
  private boolean clientLeft;

  LimitedRequest(
      HttpExchange exchange,
      AccountLimits limits,
      ClientAccount account,
      Consumer<RequestTokens> onGranted,
      IntConsumer onRefused,
      Runnable onClientLeft) {
    this.exchange = exchange;
    this.limits = limits;
    this.account = account;
    this.onGranted = onGranted;
    this.onRefused = onRefused;
    this.onClientLeft = onClientLeft;
  }

  void start(int maxWaitMs) {
    exchange.onClose(() -> clientLeft = true);
    limits.acquire(account, Math.max(0, maxWaitMs), this);
  }

  @Override
  public void granted(long producedNanos) {
    if (clientLeft) {
      limits.giveBack(account, producedNanos);
      onClientLeft.run();
      return;
    }
    onGranted.accept(new RequestTokens(new AccountTokens(), producedNanos));
  }

  /** Tokens of the account. */
  private final class AccountTokens implements RequestTokens.Source {
    @Override
    public OptionalLong tryTake() {
      return limits.tryTake(account);
    }

    @Override
    public void giveBack(long producedNanos) {
      limits.giveBack(account, producedNanos);
    }
  }

  @Override
  public void refused(int retryAfterMs) {
    onRefused.accept(retryAfterMs);
  }
}
