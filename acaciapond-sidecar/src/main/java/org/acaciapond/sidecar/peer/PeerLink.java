package org.acaciapond.sidecar.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.HttpStatus;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.LivenessCheck;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.target.TargetLoad;
import org.jspecify.annotations.Nullable;

/** Connection of this node to one other node, reopened after it closes or is lost. */
final class PeerLink {

  private static final int MIN_BACKOFF_MS = 50;
  private static final int MAX_BACKOFF_MS = 1_000;
  private static final int MAX_INCOMPLETE_RESPONSE_BYTES = 8 << 20;

  private final Vertx vertx;
  private final NetClient client;
  private final TimeSource time;
  private final DoubleSupplier random;
  private final Listener listener;
  private final LivenessCheck liveness;
  private final Map<Long, Consumer<MeshResponse>> calls = new HashMap<>();
  private final ResponseParts responseParts = new ResponseParts(MAX_INCOMPLETE_RESPONSE_BYTES);
  private NodeRecord node;
  private @Nullable PeerSocket socket;
  private boolean readsStore = true;
  private boolean connecting;
  private boolean stopped;
  private int backoffMs = MIN_BACKOFF_MS;
  private long nextCallNumber;
  private long pendingSinceNanos;
  private boolean wasSuspicious;

  /** Listener for the events of a link. */
  interface Listener {
    void onConnected(PeerLink link);

    void onDisconnected(PeerLink link, String reason);

    void onMessage(PeerLink link, PeerMessage message);

    /**
     * Called at each check of a connection that has pending calls and has been silent for unusually
     * long.
     *
     * @param first whether the connection was not silent at the previous check
     */
    void onSilent(PeerLink link, boolean first);
  }

  PeerLink(
      Vertx vertx,
      NetClient client,
      NodeRecord node,
      boolean sameDomain,
      Listener listener,
      DoubleSupplier random,
      TimeSource time) {
    this.vertx = vertx;
    this.client = client;
    this.node = node;
    this.listener = listener;
    this.random = random;
    this.time = time;
    this.liveness = new LivenessCheck(sameDomain, random);
  }

  NodeRecord node() {
    return node;
  }

  /** Replaces the record of the node and closes a connection to its previous address. */
  void updateNode(NodeRecord newer) {
    boolean addressChanged = !newer.host().equals(node.host()) || newer.port() != node.port();
    node = newer;
    PeerSocket current = socket;
    if (addressChanged && current != null) {
      current.close();
    }
  }

  boolean isConnected() {
    return socket != null;
  }

  /** Returns whether the node can read the store, according to its latest status. */
  boolean readsStore() {
    return readsStore;
  }

  void setReadsStore(boolean value) {
    readsStore = value;
  }

  void connect() {
    if (connecting || stopped || socket != null) {
      return;
    }
    connecting = true;
    client
        .connect(node.port(), node.host())
        .onSuccess(
            opened -> {
              connecting = false;
              PeerSocket created =
                  new PeerSocket(
                      (NetSocketInternal) opened,
                      time,
                      this::onMessage,
                      this::onClose,
                      problem -> listener.onDisconnected(this, problem));
              socket = created;
              liveness.reset();
              backoffMs = MIN_BACKOFF_MS;
              listener.onConnected(this);
            })
        .onFailure(
            error -> {
              connecting = false;
              reconnectLater();
            });
  }

  /**
   * Connects without backoff, for example because the other node has just connected to this one.
   */
  void reconnectNow() {
    backoffMs = MIN_BACKOFF_MS;
    connect();
  }

  private void reconnectLater() {
    if (!stopped) {
      long delayMs = Math.max(1, (long) (backoffMs * (0.5 + random.getAsDouble())));
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      vertx.setTimer(delayMs, id -> connect());
    }
  }

  private void onMessage(PeerSocket from, PeerMessage message) {
    if (from != socket) {
      return;
    }
    if (message instanceof PeerMessage.Response response) {
      MeshResponse complete = requireValidStatus(responseParts.complete(response));
      Consumer<MeshResponse> callback = calls.remove(response.callNumber());
      if (callback != null) {
        callback.accept(complete);
      }
    } else if (message instanceof PeerMessage.ResponsePart part) {
      onResponsePart(part);
    } else if (!(message instanceof PeerMessage.Pong)) {
      listener.onMessage(this, message);
    }
  }

  // Nodes of earlier releases pass on a status of their target that is none of HTTP.
  private static MeshResponse requireValidStatus(MeshResponse response) {
    return response.outcome() != Outcome.ANSWERED || HttpStatus.isFinal(response.status())
        ? response
        : MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.BAD_ANSWER, 0, response.load());
  }

  private void onResponsePart(PeerMessage.ResponsePart part) {
    PeerSocket current = socket;
    // Parts of cancelled calls may still be on their way.
    if (calls.containsKey(part.callNumber()) && !responseParts.add(part) && current != null) {
      current.close();
    }
  }

  private void onClose(PeerSocket closed) {
    if (socket == closed) {
      socket = null;
      listener.onDisconnected(this, "closed");
      List<Consumer<MeshResponse>> pending = new ArrayList<>(calls.values());
      calls.clear();
      responseParts.clear();
      pending.forEach(callback -> callback.accept(connectionBroken()));
      reconnectLater();
    }
  }

  private static MeshResponse connectionBroken() {
    return MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.NODE_LOST, 0, TargetLoad.NONE);
  }

  void send(PeerMessage message) {
    PeerSocket current = socket;
    if (current != null) {
      current.send(message);
    }
  }

  /** Sends a call; returns an action that cancels it. */
  Runnable call(MeshCall call, Consumer<MeshResponse> callback) {
    PeerSocket current = socket;
    if (current == null || current.isClosed()) {
      callback.accept(
          MeshResponse.withoutAnswer(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE));
      return () -> {};
    }
    long callNumber = nextCallNumber++;
    if (calls.isEmpty()) {
      pendingSinceNanos = time.nanoTime();
    }
    calls.put(callNumber, callback);
    current.send(new PeerMessage.Call(callNumber, call, time.nanoTime() / 1_000_000));
    return () -> {
      if (calls.remove(callNumber) != null) {
        responseParts.remove(callNumber);
        current.send(new PeerMessage.Cancel(callNumber));
      }
    };
  }

  /**
   * Probes a connection that has been silent, or closes one that did not respond to its probe.
   *
   * @param onTime whether this node ran without a pause since the last check
   */
  void check(boolean onTime) {
    PeerSocket current = socket;
    if (current == null) {
      return;
    }
    long nowNanos = time.nanoTime();
    boolean suspicious =
        !calls.isEmpty()
            && LivenessCheck.isSuspicious(
                current.lastReceivedNanos(), pendingSinceNanos, onTime, nowNanos);
    if (suspicious) {
      listener.onSilent(this, !wasSuspicious);
    }
    wasSuspicious = suspicious;
    switch (liveness.decide(current.lastReceivedNanos(), !calls.isEmpty(), onTime, nowNanos)) {
      case PROBE -> current.send(new PeerMessage.Ping(0));
      case LOST -> {
        current.close();
        onClose(current);
      }
      default -> {
        // The connection is alive.
      }
    }
  }

  void stop() {
    stopped = true;
    PeerSocket current = socket;
    if (current != null) {
      current.close();
    }
  }
}
