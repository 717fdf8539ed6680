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
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.OpenCall;
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
  // Longer bodies are sent when the other node requests them.
  private static final int MAX_UNREQUESTED_BODY_BYTES = 16 << 10;
  private static final long QUIET_NANOS = 250_000_000L;
  private static final int OFFER_TIMEOUT_MS = 150;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final Vertx vertx;
  private final NetClient client;
  private final TimeSource time;
  private final DoubleSupplier random;
  private final Listener listener;
  private final LivenessCheck liveness;
  private final Map<Long, Consumer<MeshResponse>> calls = new HashMap<>();
  private final ResponseParts responseParts;
  private final OfferedBodies offeredBodies = new OfferedBodies();
  private NodeRecord node;
  private @Nullable PeerSocket socket;
  private boolean readsStore = true;
  private boolean acceptsOffers;
  private boolean sharesLimits;
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
    this(vertx, client, node, sameDomain, listener, MemoryAccount.unlimited(), random, time);
  }

  PeerLink(
      Vertx vertx,
      NetClient client,
      NodeRecord node,
      boolean sameDomain,
      Listener listener,
      MemoryAccount memory,
      DoubleSupplier random,
      TimeSource time) {
    this.responseParts = new ResponseParts(MAX_INCOMPLETE_RESPONSE_BYTES, memory);
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

  /** Returns whether the node can read messages of shared limits. */
  boolean sharesLimits() {
    return sharesLimits;
  }

  void setSharesLimits(boolean value) {
    sharesLimits = value;
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
      onResponse(response);
    } else if (message instanceof PeerMessage.ResponsePart part) {
      onResponsePart(part);
    } else if (message instanceof PeerMessage.BodyCredit credit) {
      offeredBodies.send(credit, from::send);
    } else if (!(message instanceof PeerMessage.Pong)) {
      if (message instanceof PeerMessage.Hello hello) {
        acceptsOffers = hello.acceptsOffers();
      }
      listener.onMessage(this, message);
    }
  }

  private void onResponse(PeerMessage.Response response) {
    long callNumber = response.callNumber();
    MeshResponse complete = requireValidStatus(responseParts.complete(response));
    Consumer<MeshResponse> callback = calls.remove(callNumber);
    offeredBodies.remove(callNumber);
    if (callback != null) {
      callback.accept(complete);
    }
  }

  // Nodes of earlier releases pass on a status of their target that is none of HTTP.
  private static MeshResponse requireValidStatus(MeshResponse response) {
    return response.outcome() != Outcome.ANSWERED || HttpStatus.isFinal(response.status())
        ? response
        : MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.BAD_ANSWER, 0, response.load());
  }

  private void onResponsePart(PeerMessage.ResponsePart part) {
    long callNumber = part.callNumber();
    // Parts of cancelled calls may still be on their way.
    if (!calls.containsKey(callNumber) || responseParts.add(part)) {
      return;
    }
    responseParts.remove(callNumber);
    send(new PeerMessage.Cancel(callNumber));
    Consumer<MeshResponse> callback = calls.remove(callNumber);
    if (callback != null) {
      callback.accept(
          MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.BROKEN, 0, TargetLoad.NONE));
    }
  }

  private void onClose(PeerSocket closed) {
    if (socket == closed) {
      socket = null;
      listener.onDisconnected(this, "closed");
      acceptsOffers = false;
      List<Runnable> ends = new ArrayList<>();
      calls.forEach((number, call) -> ends.add(endOfBrokenCall(number, call)));
      calls.clear();
      responseParts.clear();
      offeredBodies.clear();
      ends.forEach(Runnable::run);
      reconnectLater();
    }
  }

  private Runnable endOfBrokenCall(long callNumber, Consumer<MeshResponse> callback) {
    MeshResponse end =
        offeredBodies.isIncomplete(callNumber)
            ? MeshResponse.withoutAnswer(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE)
            : MeshResponse.withoutAnswer(Outcome.UNKNOWN, Reason.NODE_LOST, 0, TargetLoad.NONE);
    return () -> callback.accept(end);
  }

  void send(PeerMessage message) {
    PeerSocket current = socket;
    if (current != null) {
      current.send(message);
    }
  }

  /** Sends a call. */
  OpenCall call(MeshCall call, Consumer<MeshResponse> callback) {
    PeerSocket current = socket;
    if (current == null || current.isClosed()) {
      callback.accept(
          MeshResponse.withoutAnswer(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE));
      return OpenCall.ENDED;
    }
    long callNumber = nextCallNumber++;
    if (calls.isEmpty()) {
      pendingSinceNanos = time.nanoTime();
    }
    calls.put(callNumber, callback);
    sendCall(current, callNumber, call);
    return new OpenCall() {
      @Override
      public void cancel() {
        drop(current, callNumber);
      }

      @Override
      public boolean mayHaveRun() {
        return !offeredBodies.isIncomplete(callNumber);
      }
    };
  }

  private @Nullable Consumer<MeshResponse> drop(PeerSocket current, long callNumber) {
    Consumer<MeshResponse> callback = calls.remove(callNumber);
    if (callback != null) {
      offeredBodies.remove(callNumber);
      responseParts.remove(callNumber);
      current.send(new PeerMessage.Cancel(callNumber));
    }
    return callback;
  }

  private void sendCall(PeerSocket current, long callNumber, MeshCall call) {
    long nowMs = time.nanoTime() / 1_000_000;
    byte[] body = call.body();
    boolean longBody = body.length > MAX_UNREQUESTED_BODY_BYTES;
    // A call that is lost with its connection may have run. One that must not run twice is offered
    // first on a connection that may be broken, so that it can be sent to another target.
    boolean unsafe = !call.idempotent() && isQuiet(current);
    if (!acceptsOffers || !(longBody || unsafe)) {
      current.send(new PeerMessage.Call(callNumber, call, nowMs));
      return;
    }
    offeredBodies.add(callNumber, body);
    current.send(
        new PeerMessage.CallOffer(callNumber, call.withBody(EMPTY_BODY), body.length, nowMs));
    if (!longBody) {
      vertx.setTimer(OFFER_TIMEOUT_MS, id -> endUnansweredOffer(current, callNumber));
    }
  }

  private boolean isQuiet(PeerSocket current) {
    return time.nanoTime() - current.lastReceivedNanos() > QUIET_NANOS;
  }

  private void endUnansweredOffer(PeerSocket current, long callNumber) {
    if (offeredBodies.isUnanswered(callNumber)) {
      Consumer<MeshResponse> callback = drop(current, callNumber);
      if (callback != null) {
        callback.accept(
            MeshResponse.withoutAnswer(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE));
      }
    }
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
