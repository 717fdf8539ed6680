package org.acaciapond.sidecar.peer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.admission.WaitLimit;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.PeerTopology;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;

/** All other nodes: connections to and from them, their targets, and calls to those. */
public final class PeerNetwork implements ManagedService {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int CHECK_INTERVAL_MS = 250;
  // Lists of nodes from this many peers are as good as the table in the store.
  private static final int ENOUGH_NODE_LISTS = 3;
  // Until the check after the next one.
  private static final long AVOID_SILENT_NANOS = 2 * CHECK_INTERVAL_MS * 1_000_000L;
  private static final long LATE_CHECK_NANOS = 2 * CHECK_INTERVAL_MS * 1_000_000L;

  private final Vertx vertx;
  private final NodeRecord self;
  private final TargetGateway door;
  private final StateExchange states;
  private final RolloutExchange moves;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final DoubleSupplier random;
  private final NetClient client;
  private final Map<String, PeerLink> links = new LinkedHashMap<>();
  private final InboundPeers inbound;
  private final TargetView targets;
  private long timer = -1;
  private long checkedNanos;
  private boolean readsStore = true;
  private boolean wantsNodes = true;
  private int nodeLists;

  /** Creates the network of a node. */
  public PeerNetwork(
      Vertx vertx,
      NodeRecord self,
      TargetGateway door,
      StateExchange states,
      RolloutExchange moves,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random,
      TimeSource time) {
    this.vertx = vertx;
    this.self = self;
    this.door = door;
    this.states = states;
    this.moves = moves;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
    this.time = time;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    inbound = new InboundPeers(vertx, self, door, states, moves, new Greetings(), log, time);
    door.onStatus(this::ownStatusChanged);
    targets = new TargetView(time);
    targets.apply(self.key(), self.domain(), door.status(), door.load());
  }

  @Override
  public Uni<Void> start() {
    timer = vertx.setPeriodic(CHECK_INTERVAL_MS, id -> check());
    return inbound.start();
  }

  @Override
  public Uni<Void> stop() {
    vertx.cancelTimer(timer);
    links.values().forEach(PeerLink::stop);
    return inbound.stop();
  }

  /** Takes the record of a node, from the store or from a peer. */
  public void learn(NodeRecord node) {
    if (node.key().equals(self.key())) {
      return;
    }
    PeerLink held = links.get(node.key());
    if (held != null) {
      if (node.startedMs() >= held.node().startedMs()) {
        held.node(node);
      }
      return;
    }
    log.event("node_learned", "peer", node.key(), "host", node.host(), "service", node.service());
    PeerLink link =
        new PeerLink(
            vertx,
            client,
            node,
            node.domain().equals(self.domain()),
            new LinkEvents(),
            random,
            time);
    links.put(node.key(), link);
    link.connect();
  }

  /** Returns the targets of a service that this node is connected to, its own among them. */
  public List<Candidate> candidates(String service) {
    return targets.ofService(service);
  }

  /** Returns how many nodes are known, this one among them. */
  public int knownNodes() {
    return links.size() + 1;
  }

  /** Returns whether at least one other node is connected or none is known. */
  public boolean connectedToAny() {
    return links.isEmpty() || connectedPeers() > 0;
  }

  /** Sends a call to a target and returns how to give it up. */
  public Runnable call(Candidate candidate, MeshCall call, Consumer<MeshResponse> done) {
    boolean urgent = WaitLimit.urgent(call.rank());
    candidate.begin(urgent);
    Consumer<MeshResponse> counted =
        reply -> {
          candidate.end(urgent);
          if (reply.load() != TargetLoad.NONE) {
            candidate.report(reply.load(), time.nanoTime());
          }
          done.accept(reply);
        };
    if (candidate.node().equals(self.key())) {
      TargetGateway.GatewayCall local = door.call(call, counted);
      return local::cancel;
    }
    PeerLink link = links.get(candidate.node());
    if (link == null) {
      counted.accept(MeshResponse.without(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE));
      return () -> {};
    }
    Runnable giveUp = link.call(call, counted);
    return () -> {
      giveUp.run();
      candidate.end(urgent);
    };
  }

  /** Returns how many nodes this one is connected to. */
  public int connectedPeers() {
    return (int) links.values().stream().filter(PeerLink::connected).count();
  }

  /** Returns the lowest key among this node and those it is connected to. */
  public String lowestKey() {
    String lowest = self.key();
    for (PeerLink link : links.values()) {
      if (link.connected() && link.node().key().compareTo(lowest) < 0) {
        lowest = link.node().key();
      }
    }
    return lowest;
  }

  /** Returns how many nodes of the own domain come before this one in asking the store. */
  public int readerRank() {
    return domainView().readerRank();
  }

  private PeerTopology domainView() {
    List<PeerTopology.Peer> peers = new ArrayList<>();
    for (PeerLink link : links.values()) {
      if (link.connected()) {
        NodeRecord node = link.node();
        peers.add(new PeerTopology.Peer(node.key(), node.domain(), link.readsStore()));
      }
    }
    return new PeerTopology(self.key(), self.domain(), peers);
  }

  /** Returns whether the store serves this node, as far as it knows. */
  public boolean readsStore() {
    return readsStore;
  }

  /** Notes whether the store serves this node, and tells the others of a change. */
  public void readsStore(boolean served) {
    if (served != readsStore) {
      readsStore = served;
      publishStatus();
    }
  }

  /** Notes that the table of nodes has been read, so that peers need not name theirs. */
  public void nodesRead() {
    wantsNodes = false;
  }

  /** Sends a message to one node, if there is a connection. */
  public void send(String key, PeerMessage message) {
    PeerLink link = links.get(key);
    if (link != null) {
      link.send(message);
    }
  }

  /** Sends a message to all nodes that are connected to this one. */
  public void publish(PeerMessage message) {
    inbound.publish(message);
  }

  /** Tells those nodes that hear of it from this one that new rows are held. */
  public void publishRows() {
    inbound.publish(ownStatus(), Set.copyOf(domainView().updateRecipients()));
  }

  private void publishStatus() {
    publish(ownStatus());
  }

  private PeerMessage.Status ownStatus() {
    return new PeerMessage.Status(door.status(), door.load(), states.rowVersion(), readsStore);
  }

  private void ownStatusChanged(TargetStatus status) {
    targets.apply(self.key(), self.domain(), status, door.load());
    publishStatus();
  }

  private PeerMessage.Hello hello() {
    return new PeerMessage.Hello(self, states.rowVersion(), wantsNodes);
  }

  private void check() {
    long nowNanos = time.nanoTime();
    boolean onTime = nowNanos - checkedNanos < LATE_CHECK_NANOS;
    checkedNanos = nowNanos;
    links.values().forEach(link -> link.check(onTime));
    inbound.tellWaiting(CHECK_INTERVAL_MS);
    metrics.peers(connectedPeers());
  }

  /** What this node tells those that connect to it. */
  private final class Greetings implements InboundPeers.Greeter {
    @Override
    public PeerMessage.Hello hello() {
      return PeerNetwork.this.hello();
    }

    @Override
    public PeerMessage.Status status() {
      return ownStatus();
    }

    @Override
    public List<PeerMessage> answer(PeerMessage.Hello hello) {
      learn(hello.node());
      PeerLink link = links.get(hello.node().key());
      if (link != null) {
        link.wake();
      }
      List<PeerMessage> answers = new ArrayList<>();
      if (hello.wantsNodes()) {
        answers.add(new PeerMessage.Nodes(links.values().stream().map(PeerLink::node).toList()));
      }
      TargetStatus leaver = targets.leaver(hello.node().key());
      if (leaver != null) {
        answers.add(new PeerMessage.StoppedTarget(leaver));
      }
      return answers;
    }
  }

  /** What links tell, applied to the view of the mesh. */
  private final class LinkEvents implements PeerLink.Listener {
    @Override
    public void connected(PeerLink link) {
      link.send(hello());
      log.event("peer_connected", "peer", link.node().key());
    }

    @Override
    public void disconnected(PeerLink link, String reason) {
      log.event("peer_lost", "peer", link.node().key(), "reason", reason);
      targets.remove(link.node().key());
    }

    @Override
    public void silent(PeerLink link, boolean first) {
      targets.avoid(link.node().key(), time.nanoTime() + AVOID_SILENT_NANOS);
      if (first) {
        log.event("peer_silent", "peer", link.node().key());
      }
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
      if (message instanceof PeerMessage.Status status) {
        onStatus(link, status);
      } else if (message instanceof PeerMessage.Hello hello) {
        if (!hello.node().key().equals(link.node().key())) {
          // Another host has the address now.
          learn(hello.node());
        } else {
          link.node(hello.node());
        }
        states.peerHolds(hello.rowVersion(), () -> link.send(new PeerMessage.StateRequest()));
      } else if (message instanceof PeerMessage.Nodes nodes) {
        nodes.nodes().forEach(PeerNetwork.this::learn);
        nodeLists++;
        wantsNodes &= nodeLists < ENOUGH_NODE_LISTS;
      } else if (message instanceof PeerMessage.StateRows rows) {
        states.accept(rows.rows());
      } else if (message instanceof PeerMessage.StoppedTarget recall) {
        door.recall(recall.status());
      } else if (message instanceof PeerMessage.Grants told) {
        moves.accept(told.grants());
      }
    }

    private void onStatus(PeerLink link, PeerMessage.Status message) {
      link.readsStore(message.readsStore());
      TargetStatus status = message.status();
      boolean changed =
          targets.apply(link.node().key(), link.node().domain(), status, message.load());
      if (changed && !status.open()) {
        log.event(
            "peer_target",
            "peer",
            link.node().key(),
            "id",
            status.id(),
            "phase",
            status.phase(),
            "node_leaving",
            status.nodeLeaving());
      }
      states.peerHolds(message.rowVersion(), () -> link.send(new PeerMessage.StateRequest()));
    }
  }
}
