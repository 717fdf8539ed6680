package org.acaciapond.routing.call;

/** Receiver of finished attempts; called on the path of a request and must not block. */
@FunctionalInterface
public interface CallListener {

  /** Receives one finished attempt. */
  void onCall(CallRecord record);
}
