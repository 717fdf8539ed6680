package org.acaciapond.sidecar.target;

import io.vertx.core.net.impl.NetSocketInternal;
import java.util.function.BiConsumer;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.BodyBudget;
import org.acaciapond.http.ClientConnection;
import org.acaciapond.http.ClientRequest;
import org.acaciapond.http.UnexpectedResponse;

/** Connection to the target that knows its number in this node's life and its last two calls. */
final class TargetConnection {

  private final ClientConnection client;
  private final long number;
  private final long openedAtCall;
  private String lastCallId = "";
  private String previousCallId = "";

  TargetConnection(
      NetSocketInternal socket,
      long number,
      long openedAtCall,
      int maxBodyBytes,
      BodyBudget bodyBudget,
      BiConsumer<TargetConnection, UnexpectedResponse> onUnexpected,
      TimeSource time) {
    this.number = number;
    this.openedAtCall = openedAtCall;
    this.client =
        new ClientConnection(
            socket,
            maxBodyBytes,
            bodyBudget,
            () -> {},
            response -> onUnexpected.accept(this, response),
            time);
  }

  /** Sends the request of a call; no other request may be in flight. */
  void send(String callId, ClientRequest request, ClientConnection.Listener listener) {
    previousCallId = lastCallId;
    lastCallId = callId;
    client.send(request, listener);
  }

  /** Returns whether no request was sent on the connection. */
  boolean isNew() {
    return lastCallId.isEmpty();
  }

  boolean isUsable(long nowNanos, long maxIdleNanos) {
    return client.isUsable(nowNanos, maxIdleNanos);
  }

  void close() {
    client.close();
  }

  void abandon() {
    client.abandon();
  }

  long number() {
    return number;
  }

  /** Returns how many calls had asked for a connection to the target when this one was opened. */
  long openedAtCall() {
    return openedAtCall;
  }

  /** Returns the id of the call in flight, or of the last one; empty before the first call. */
  String lastCallId() {
    return lastCallId;
  }

  /** Returns the id of the call before the last one; empty if there was none. */
  String previousCallId() {
    return previousCallId;
  }

  long receivedBytes() {
    return client.receivedBytes();
  }

  int receivedStatus() {
    return client.receivedStatus();
  }
}
