package org.acaciapond.sidecar.peer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.HttpMessage;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.http.SocketServer;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.TransitDelay;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** Connections that other nodes opened to this one, and the calls to the local target on them. */
final class InboundPeers implements ManagedService {

  // Calls with a longer transit time are logged.
  private static final int LATE_CALL_MS = 200;
  private static final int MAX_PENDING_RESPONSE_BYTES = 4 << 20;
  private static final int OUT_OF_MEMORY_RETRY_MS = 1_000;

  private final SocketServer server;
  private final Context context;
  private final TargetGateway gateway;
  private final InboundBodies bodies;
  private final StateExchange stateExchange;
  private final RolloutExchange rolloutExchange;
  private final LimitExchange limitExchange;
  private final Handshake handshake;
  private final MemoryAccount memory;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final Map<PeerSocket, InboundConnection> connections = new HashMap<>();

  /** Messages that this node sends to a node that connects to it. */
  interface Handshake {
    /** Returns the first message of a connection. */
    PeerMessage.Hello hello();

    /** Returns the state of the local target and the version of the operator rows at this node. */
    PeerMessage.Status status();

    /** Handles the hello of the other node; returns the messages to send in response. */
    List<PeerMessage> onHello(PeerMessage.Hello hello);
  }

  /** State of one connection, with the calls that run on it. */
  private static final class InboundConnection {
    // Calls whose cancellation may be among the bytes that have arrived but are not read yet.
    final Set<Long> receivedCalls = new HashSet<>();
    final Map<Long, TargetGateway.GatewayCall> calls = new HashMap<>();
    final Map<Long, InboundBodies.Offer> offers = new HashMap<>();
    final ResponseWriter responses;
    TransitDelay transit = new TransitDelay();
    String key = "";
    long loadSentNanos;

    InboundConnection(PeerSocket socket, MemoryAccount memory) {
      responses =
          new ResponseWriter(socket::send, socket::isWritable, MAX_PENDING_RESPONSE_BYTES, memory);
      socket.onWritable(responses::writePending);
    }
  }

  InboundPeers(
      Vertx vertx,
      NodeRecord self,
      TargetGateway gateway,
      StateExchange stateExchange,
      RolloutExchange rolloutExchange,
      LimitExchange limitExchange,
      Handshake handshake,
      MemoryAccount memory,
      EventLog log,
      NodeMetrics metrics,
      TimeSource time) {
    this.context = vertx.getOrCreateContext();
    this.server = new SocketServer(vertx, self.host(), self.port(), this::accept);
    this.gateway = gateway;
    this.bodies = new InboundBodies(vertx, gateway, memory, this::outOfMemory, time);
    this.stateExchange = stateExchange;
    this.rolloutExchange = rolloutExchange;
    this.limitExchange = limitExchange;
    this.handshake = handshake;
    this.memory = memory;
    this.log = log;
    this.metrics = metrics;
    this.time = time;
  }

  @Override
  public Uni<Void> start() {
    return server.start();
  }

  @Override
  public Uni<Void> stop() {
    return server.stop();
  }

  /** Returns the bytes of response bodies that are not sent completely. */
  int pendingResponseBytes() {
    return connections.values().stream().mapToInt(each -> each.responses.pendingBytes()).sum();
  }

  /** Requests bytes of bodies that are due. */
  void requestBodies() {
    bodies.requestBodies();
  }

  /** Sends a message on all connections. */
  void publish(PeerMessage message) {
    connections.keySet().forEach(socket -> socket.send(message));
  }

  /** Sends a message to the nodes of some keys. */
  void publish(PeerMessage message, Set<String> keys) {
    connections.forEach(
        (socket, connection) -> {
          if (keys.contains(connection.key)) {
            socket.send(message);
          }
        });
  }

  /**
   * Sends the status, which contains the load, on all connections with pending calls. Responses
   * carry the load as well, but callers of a target that does not respond receive only this.
   *
   * @param intervalMs time after the last response or status at which the next status is due
   */
  void sendLoadToWaitingPeers(int intervalMs) {
    long nowNanos = time.nanoTime();
    connections.forEach(
        (socket, connection) -> {
          boolean due = nowNanos - connection.loadSentNanos > intervalMs * 1_000_000L;
          if (!connection.calls.isEmpty() && due) {
            connection.loadSentNanos = nowNanos;
            socket.send(handshake.status());
          }
        });
  }

  private void accept(NetSocketInternal socket) {
    PeerSocket peer =
        new PeerSocket(
            socket,
            time,
            this::onMessage,
            this::onClosed,
            problem -> log.event("peer_problem", "error", problem));
    connections.put(peer, new InboundConnection(peer, memory));
    peer.send(handshake.hello());
    peer.send(handshake.status());
    List<ShareGrant> grants = rolloutExchange.grants();
    if (!grants.isEmpty()) {
      peer.send(new PeerMessage.Grants(grants));
    }
  }

  private void onMessage(PeerSocket socket, PeerMessage message) {
    InboundConnection connection = connections.get(socket);
    if (connection == null) {
      return;
    }
    if (message instanceof PeerMessage.Call call) {
      onCall(connection, call);
    } else if (message instanceof PeerMessage.CallOffer offer) {
      onOffer(socket, connection, offer);
    } else if (message instanceof PeerMessage.BodyPart part) {
      onBodyPart(connection, part);
    } else if (message instanceof PeerMessage.Cancel cancel) {
      onCancel(connection, cancel.callNumber());
    } else if (message instanceof PeerMessage.Ping ping) {
      socket.send(new PeerMessage.Pong(ping.number()));
    } else if (message instanceof PeerMessage.Hello hello) {
      connection.key = hello.node().key();
      connection.responses.setAcceptsParts(hello.acceptsParts());
      connection.transit = new TransitDelay();
      transitMs(connection, hello.sentMs());
      handshake.onHello(hello).forEach(socket::send);
    } else if (message instanceof PeerMessage.StateRequest request) {
      stateExchange.onRowsSent(socket.send(stateExchange.response(request)));
    } else if (message instanceof PeerMessage.Evidence evidence) {
      rolloutExchange.accept(evidence);
    } else if (message instanceof PeerMessage.Limit limit) {
      limitExchange.accept(connection.key, limit.message());
    }
  }

  private void onCancel(InboundConnection connection, long callNumber) {
    connection.receivedCalls.remove(callNumber);
    InboundBodies.Offer offer = connection.offers.remove(callNumber);
    if (offer != null) {
      bodies.cancel(offer);
    }
    connection.responses.cancel(callNumber);
    TargetGateway.GatewayCall running = connection.calls.remove(callNumber);
    if (running != null) {
      running.cancel();
    }
  }

  private int transitMs(InboundConnection connection, long sentMs) {
    return sentMs == 0 ? 0 : connection.transit.measureMs(sentMs, time.nanoTime());
  }

  private MeshResponse outOfMemory() {
    metrics.countLimited("call_refused");
    return MeshResponse.withoutAnswer(
        Outcome.REFUSED, Reason.FULL, OUT_OF_MEMORY_RETRY_MS, gateway.load());
  }

  private MeshCall afterTransit(InboundConnection connection, MeshCall call, long sentMs) {
    int transitMs = transitMs(connection, sentMs);
    if (transitMs > LATE_CALL_MS) {
      log.request(
          "call_late",
          "id",
          call.id(),
          "peer",
          connection.key,
          "transit_ms",
          transitMs,
          "left_ms",
          call.leftMs());
    }
    return call.afterTransit(transitMs);
  }

  private void onCall(InboundConnection connection, PeerMessage.Call message) {
    MeshCall call = afterTransit(connection, message.call(), message.sentMs());
    submitUnlessCancelled(connection, message.callNumber(), call);
  }

  private void onOffer(
      PeerSocket socket, InboundConnection connection, PeerMessage.CallOffer message) {
    long number = message.callNumber();
    boolean[] ended = {false};
    InboundBodies.Offer offer =
        bodies.accept(
            message,
            afterTransit(connection, message.call(), message.sentMs()),
            socket::send,
            refusal -> {
              ended[0] = true;
              connection.offers.remove(number);
              respond(connection, number, refusal);
            },
            call -> {
              connection.offers.remove(number);
              submitUnlessCancelled(connection, number, call);
            });
    if (!ended[0]) {
      connection.offers.put(number, offer);
    }
  }

  private void onBodyPart(InboundConnection connection, PeerMessage.BodyPart part) {
    InboundBodies.Offer offer = connection.offers.get(part.callNumber());
    if (offer != null) {
      bodies.receive(offer, part.bytes());
    }
  }

  private void submitUnlessCancelled(InboundConnection connection, long callNumber, MeshCall call) {
    connection.receivedCalls.add(callNumber);
    context.runOnContext(
        on -> {
          if (connection.receivedCalls.remove(callNumber)) {
            submit(connection, callNumber, call);
          }
        });
  }

  private void submit(InboundConnection connection, long callNumber, MeshCall call) {
    long heldBytes = call.body().length + HttpMessage.heapBytes(call.headers());
    if (!reserve(heldBytes)) {
      connection.responses.write(callNumber, outOfMemory());
      return;
    }
    boolean[] completed = {false};
    TargetGateway.GatewayCall submitted =
        gateway.submit(
            call,
            response -> {
              completed[0] = true;
              memory.release(heldBytes);
              connection.calls.remove(callNumber);
              respond(connection, callNumber, response);
            });
    if (!completed[0]) {
      connection.calls.put(callNumber, submitted);
    }
  }

  private void respond(InboundConnection connection, long callNumber, MeshResponse response) {
    connection.loadSentNanos = time.nanoTime();
    connection.responses.write(callNumber, response);
  }

  private boolean reserve(long bytes) {
    return bytes > MemoryAccount.ORDINARY_BYTES
        ? memory.reserveOrEvict(bytes)
        : memory.reserveOrdinary(bytes);
  }

  private void onClosed(PeerSocket socket) {
    InboundConnection connection = connections.remove(socket);
    if (connection != null) {
      // The caller can no longer receive the responses.
      connection.receivedCalls.clear();
      connection.offers.values().forEach(bodies::cancel);
      connection.offers.clear();
      new ArrayList<>(connection.calls.values()).forEach(TargetGateway.GatewayCall::cancel);
      connection.responses.clear();
    }
  }
}
