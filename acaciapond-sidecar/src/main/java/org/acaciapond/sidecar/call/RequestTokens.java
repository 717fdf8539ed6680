package org.acaciapond.sidecar.call;

import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.sidecar.limit.AccountLimits;
import org.jspecify.annotations.Nullable;

/**
 * Tokens of one request of an account with a limit. Each call to a target needs one; that of a call
 * that was certainly not run can be used for another call.
 */
final class RequestTokens {

  /** Tokens of a request without a limit. */
  static final RequestTokens UNLIMITED = new RequestTokens();

  private final @Nullable AccountLimits limits;
  private final @Nullable ClientAccount account;
  private final long producedNanos;
  private int unused;
  private boolean repeated;

  private RequestTokens() {
    this.limits = null;
    this.account = null;
    this.producedNanos = 0;
  }

  RequestTokens(AccountLimits limits, ClientAccount account, long producedNanos) {
    this.limits = limits;
    this.account = account;
    this.producedNanos = producedNanos;
    this.unused = 1;
  }

  /** Returns whether a repeat may be sent; takes a token for it if none is unused. */
  boolean tryTake() {
    if (limits == null || account == null || unused > 0) {
      return true;
    }
    boolean taken = limits.tryTake(account);
    if (taken) {
      unused++;
      repeated = true;
    }
    return taken;
  }

  void onSent() {
    if (limits != null) {
      unused--;
    }
  }

  void onNotRun() {
    if (limits != null) {
      unused++;
    }
  }

  /** Returns the token to the limit if no call has used it and no other one was taken. */
  void giveBackUnused() {
    if (limits != null && account != null && unused > 0 && !repeated) {
      limits.giveBack(account, producedNanos);
      unused = 0;
    }
  }
}
