package org.acaciapond.sidecar.peer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.SocketServer;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;

/** Connections that other nodes made to this one, and the calls to the own target on them. */
final class InboundPeers implements ManagedService {

  private final SocketServer server;
  private final TargetGateway door;
  private final StateExchange states;
  private final RolloutExchange moves;
  private final Greeter greeter;
  private final EventLog log;
  private final TimeSource time;
  private final Map<PeerSocket, Inbound> connections = new HashMap<>();

  /** What this node says to one that connects to it. */
  interface Greeter {
    /** Returns the first message. */
    PeerMessage.Hello hello();

    /** Returns the state of the own target and of the rows that are held. */
    PeerMessage.Status status();

    /** Returns what a node that has named itself is told. */
    List<PeerMessage> answer(PeerMessage.Hello hello);
  }

  /** One connection, with the calls that run on it. */
  private static final class Inbound {
    final Map<Long, TargetGateway.GatewayCall> calls = new HashMap<>();
    String key = "";
    long toldNanos;
  }

  InboundPeers(
      Vertx vertx,
      NodeRecord self,
      TargetGateway door,
      StateExchange states,
      RolloutExchange moves,
      Greeter greeter,
      EventLog log,
      TimeSource time) {
    this.server = new SocketServer(vertx, self.host(), self.port(), this::accept);
    this.door = door;
    this.states = states;
    this.moves = moves;
    this.greeter = greeter;
    this.log = log;
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

  /** Sends a message on all connections. */
  void publish(PeerMessage message) {
    connections.keySet().forEach(socket -> socket.send(message));
  }

  /** Sends a message to the nodes of some keys. */
  void publish(PeerMessage message, Set<String> keys) {
    connections.forEach(
        (socket, from) -> {
          if (keys.contains(from.key)) {
            socket.send(message);
          }
        });
  }

  /**
   * Tells those whose calls wait of the load. Answers carry it as well; a target that answers
   * nothing is shown by this alone.
   *
   * @param intervalMs time since the last answer or message after which one is due
   */
  void tellWaiting(int intervalMs) {
    long nowNanos = time.nanoTime();
    connections.forEach(
        (socket, from) -> {
          boolean due = nowNanos - from.toldNanos > intervalMs * 1_000_000L;
          if (!from.calls.isEmpty() && due) {
            from.toldNanos = nowNanos;
            socket.send(greeter.status());
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
    connections.put(peer, new Inbound());
    peer.send(greeter.hello());
    peer.send(greeter.status());
    List<ShareGrant> grants = moves.grants();
    if (!grants.isEmpty()) {
      peer.send(new PeerMessage.Grants(grants));
    }
  }

  private void onMessage(PeerSocket socket, PeerMessage message) {
    Inbound from = connections.get(socket);
    if (from == null) {
      return;
    }
    if (message instanceof PeerMessage.Call call) {
      onCall(socket, from, call);
    } else if (message instanceof PeerMessage.Cancel cancel) {
      TargetGateway.GatewayCall running = from.calls.remove(cancel.number());
      if (running != null) {
        running.cancel();
      }
    } else if (message instanceof PeerMessage.Ping ping) {
      socket.send(new PeerMessage.Pong(ping.number()));
    } else if (message instanceof PeerMessage.Hello hello) {
      from.key = hello.node().key();
      greeter.answer(hello).forEach(socket::send);
    } else if (message instanceof PeerMessage.StateRequest) {
      socket.send(new PeerMessage.StateRows(states.rows()));
    } else if (message instanceof PeerMessage.Evidence evidence) {
      moves.accept(evidence);
    }
  }

  private void onCall(PeerSocket socket, Inbound from, PeerMessage.Call message) {
    boolean[] ended = {false};
    TargetGateway.GatewayCall call =
        door.call(
            message.call(),
            reply -> {
              ended[0] = true;
              from.calls.remove(message.number());
              from.toldNanos = time.nanoTime();
              socket.send(new PeerMessage.Response(message.number(), reply));
            });
    if (!ended[0]) {
      from.calls.put(message.number(), call);
    }
  }

  private void onClosed(PeerSocket socket) {
    Inbound from = connections.remove(socket);
    if (from != null) {
      // Nobody waits for these answers any more.
      new ArrayList<>(from.calls.values()).forEach(TargetGateway.GatewayCall::cancel);
    }
  }
}
