package org.acaciapond.routing.call;

/** Listener for finished attempts; called on the request path, so it must not block. */
@FunctionalInterface
public interface CallListener {

  /** Receives one finished attempt. */
  void onCall(CallRecord record);
}
