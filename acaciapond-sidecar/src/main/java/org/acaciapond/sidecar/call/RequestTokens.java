package org.acaciapond.sidecar.call;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Tokens of one request of an account with a limit. Each call to a target needs one; that of a call
 * that was certainly not run can be used for another call.
 */
final class RequestTokens {

  /** Tokens of a request without a limit. */
  static final RequestTokens UNLIMITED = new RequestTokens(null, 0);

  private final @Nullable Source source;
  // Production time of the oldest token.
  private long producedNanos;
  private int unused;

  /** Limit from which the tokens of a request are taken. */
  interface Source {
    /** Takes a token for a repeat; returns its production time, or nothing if there is none. */
    OptionalLong tryTake();

    /** Returns a token that no call has used. */
    void giveBack(long producedNanos);
  }

  /**
   * Creates the tokens of a request with one token.
   *
   * @param source limit of the account; null if it has none
   * @param producedNanos production time of the token
   */
  RequestTokens(@Nullable Source source, long producedNanos) {
    this.source = source;
    this.producedNanos = producedNanos;
    this.unused = 1;
  }

  /** Returns whether a repeat may be sent; takes a token for it if none is unused. */
  boolean tryTake() {
    if (source == null || unused > 0) {
      return true;
    }
    OptionalLong taken = source.tryTake();
    if (taken.isEmpty()) {
      return false;
    }
    unused++;
    if (taken.getAsLong() - producedNanos < 0) {
      producedNanos = taken.getAsLong();
    }
    return true;
  }

  void onSent() {
    if (source != null) {
      unused--;
    }
  }

  void onNotRun() {
    if (source != null) {
      unused++;
    }
  }

  /** Returns the tokens that no call has used to the limit. */
  void giveBackUnused() {
    if (source != null) {
      for (; unused > 0; unused--) {
        source.giveBack(producedNanos);
      }
    }
  }
}
