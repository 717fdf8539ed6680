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
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.LivenessCheck;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.target.TargetLoad;
import org.jspecify.annotations.Nullable;

/** This node's connection to one other node, made again whenever it ends or falls silent. */
final class PeerLink {

  private static final int MIN_BACKOFF_MS = 50;
  private static final int MAX_BACKOFF_MS = 1_000;

  private final Vertx vertx;
  private final NetClient client;
  private final TimeSource time;
  private final DoubleSupplier random;
  private final Listener listener;
  private final LivenessCheck liveness;
  private final Map<Long, Consumer<MeshResponse>> calls = new HashMap<>();
  private NodeRecord node;
  private @Nullable PeerSocket socket;
  private boolean readsStore = true;
  private boolean connecting;
  private boolean stopped;
  private int backoffMs = MIN_BACKOFF_MS;
  private long nextNumber;
  private long waitingSinceNanos;
  private boolean suspected;

  /** Receives what happens on a link. */
  interface Listener {
    void connected(PeerLink link);

    void disconnected(PeerLink link, String reason);

    void received(PeerLink link, PeerMessage message);

    /** Calls wait on a connection that has been silent for unusually long. */
    void silent(PeerLink link, boolean first);
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

  /** Takes a newer record; a new address takes effect at the next connection. */
  void node(NodeRecord newer) {
    boolean moved = !newer.host().equals(node.host()) || newer.port() != node.port();
    node = newer;
    PeerSocket held = socket;
    if (moved && held != null) {
      held.close();
    }
  }

  boolean connected() {
    return socket != null;
  }

  /** Returns whether the store serves the node, as far as it has told. */
  boolean readsStore() {
    return readsStore;
  }

  void readsStore(boolean served) {
    readsStore = served;
  }

  void connect() {
    if (connecting || stopped || socket != null) {
      return;
    }
    connecting = true;
    client
        .connect(node.port(), node.host())
        .onSuccess(
            connected -> {
              connecting = false;
              PeerSocket created =
                  new PeerSocket(
                      (NetSocketInternal) connected,
                      time,
                      (from, message) -> onMessage(message),
                      this::onClose,
                      problem -> listener.disconnected(this, problem));
              socket = created;
              liveness.reset();
              backoffMs = MIN_BACKOFF_MS;
              listener.connected(this);
            })
        .onFailure(
            error -> {
              connecting = false;
              reconnectLater();
            });
  }

  /** Tries at once, for example because the other node has just been heard. */
  void wake() {
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

  private void onMessage(PeerMessage message) {
    if (message instanceof PeerMessage.Response reply) {
      Consumer<MeshResponse> done = calls.remove(reply.number());
      if (done != null) {
        done.accept(reply.response());
      }
    } else if (!(message instanceof PeerMessage.Pong)) {
      listener.received(this, message);
    }
  }

  private void onClose(PeerSocket ended) {
    if (socket == ended) {
      socket = null;
      listener.disconnected(this, "closed");
      List<Consumer<MeshResponse>> lost = new ArrayList<>(calls.values());
      calls.clear();
      lost.forEach(done -> done.accept(broken()));
      reconnectLater();
    }
  }

  private static MeshResponse broken() {
    return MeshResponse.without(Outcome.UNKNOWN, Reason.BROKEN, 0, TargetLoad.NONE);
  }

  void send(PeerMessage message) {
    PeerSocket held = socket;
    if (held != null) {
      held.send(message);
    }
  }

  /** Sends a call and returns how to give it up. */
  Runnable call(MeshCall call, Consumer<MeshResponse> done) {
    PeerSocket held = socket;
    if (held == null) {
      done.accept(MeshResponse.without(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE));
      return () -> {};
    }
    long number = nextNumber++;
    if (calls.isEmpty()) {
      waitingSinceNanos = time.nanoTime();
    }
    calls.put(number, done);
    held.send(new PeerMessage.Call(number, call));
    return () -> {
      if (calls.remove(number) != null) {
        held.send(new PeerMessage.Cancel(number));
      }
    };
  }

  /**
   * Asks for a sign of life where nothing was heard for long, or ends a connection that gave none.
   *
   * @param onTime whether this node itself has been running since the last check
   */
  void check(boolean onTime) {
    PeerSocket held = socket;
    if (held == null) {
      return;
    }
    long nowNanos = time.nanoTime();
    boolean suspicious =
        !calls.isEmpty()
            && LivenessCheck.isSuspicious(held.heardNanos(), waitingSinceNanos, onTime, nowNanos);
    if (suspicious) {
      listener.silent(this, !suspected);
    }
    suspected = suspicious;
    switch (liveness.decide(held.heardNanos(), !calls.isEmpty(), onTime, nowNanos)) {
      case PROBE -> held.send(new PeerMessage.Ping(0));
      case LOST -> {
        held.close();
        onClose(held);
      }
      default -> {
        // The connection is alive.
      }
    }
  }

  void stop() {
    stopped = true;
    PeerSocket held = socket;
    if (held != null) {
      held.close();
    }
  }
}
