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
import java.util.function.Predicate;
import org.acaciapond.common.lifecycle.ManagedService;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.http.MemoryAccount;
import org.acaciapond.mesh.admission.CallRank;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.OpenCall;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.NodeRow;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.PeerTopology;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.sidecar.target.TargetGateway;
import org.acaciapond.sidecar.telemetry.EventLog;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** Network of all other nodes: connections to and from them, their targets, and calls to those. */
public final class PeerNetwork implements ManagedService {

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int CHECK_INTERVAL_MS = 250;
  // Node lists from this many peers replace the table in the store.
  private static final int SUFFICIENT_NODE_LISTS = 3;
  // Lasts until the check after the next one.
  private static final long AVOID_SILENT_PEER_NANOS = 2 * CHECK_INTERVAL_MS * 1_000_000L;
  private static final int MIN_CLOCK_STEP_MS = 100;
  private static final long MAX_ON_TIME_GAP_NANOS = 2 * CHECK_INTERVAL_MS * 1_000_000L;

  private final Vertx vertx;
  private final NodeRecord self;
  private final TargetGateway gateway;
  private final StateExchange stateExchange;
  private final RolloutExchange rolloutExchange;
  private final LimitExchange limitExchange;
  private final MemoryAccount memory;
  private final EventLog log;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final DoubleSupplier random;
  private final NetClient client;
  private final Map<String, PeerLink> links = new LinkedHashMap<>();
  private final InboundPeers inbound;
  private final ConnectedTargets targets;
  private long timer = -1;
  private long lastCheckNanos;
  // Time of day minus monotonic time.
  private long clockOffsetMs;
  private boolean readsStore = true;
  private boolean wantsNodes = true;
  private int receivedNodeLists;

  /**
   * Creates the network of a node.
   *
   * @param evacuated whether a failure domain is evacuated
   */
  public PeerNetwork(
      Vertx vertx,
      NodeRecord self,
      TargetGateway gateway,
      StateExchange stateExchange,
      RolloutExchange rolloutExchange,
      LimitExchange limitExchange,
      Predicate<String> evacuated,
      MemoryAccount memory,
      EventLog log,
      NodeMetrics metrics,
      DoubleSupplier random,
      TimeSource time) {
    this.vertx = vertx;
    this.self = self;
    this.gateway = gateway;
    this.stateExchange = stateExchange;
    this.rolloutExchange = rolloutExchange;
    this.limitExchange = limitExchange;
    this.memory = memory;
    this.log = log;
    this.metrics = metrics;
    this.random = random;
    this.time = time;
    this.clockOffsetMs = clockOffsetMs(time.nanoTime());
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    inbound =
        new InboundPeers(
            vertx,
            self,
            gateway,
            stateExchange,
            rolloutExchange,
            limitExchange,
            new LocalHandshake(),
            memory,
            log,
            metrics,
            time);
    gateway.setStatusListener(this::onLocalStatusChanged);
    targets = new ConnectedTargets(time, evacuated);
    targets.applyStatus(self.key(), self.domain(), gateway.status(), gateway.load());
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

  /**
   * Applies the row of a node in the store. The node may have restarted without access to the
   * store, so it is sent the departure of its target.
   */
  public void applyRow(NodeRow row) {
    TargetStatus departed = targets.rememberDeparture(row);
    if (departed != null) {
      inbound.publish(new PeerMessage.StoppedTarget(departed), Set.of(row.node().key()));
    }
    addOrUpdateNode(row.node());
  }

  /** Adds or updates a node from a record of the store or of a peer. */
  public void addOrUpdateNode(NodeRecord node) {
    if (node.key().equals(self.key())) {
      return;
    }
    PeerLink existing = links.get(node.key());
    if (existing != null) {
      if (node.startedMs() >= existing.node().startedMs()) {
        existing.updateNode(node);
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
            new LinkListener(),
            memory,
            random,
            time);
    links.put(node.key(), link);
    link.connect();
  }

  /** Returns the connected targets of a service, including the local one. */
  public List<Candidate> candidates(String service) {
    return targets.forService(service);
  }

  /** Applies changed evacuation orders to the connected targets. */
  public void updateEvacuatedTargets() {
    targets.updateEvacuated();
  }

  /** Returns the number of known nodes, including this one. */
  public int knownNodeCount() {
    return links.size() + 1;
  }

  /** Returns whether at least one other node is connected or none is known. */
  public boolean isConnectedToAny() {
    return links.isEmpty() || connectedPeerCount() > 0;
  }

  /** Sends a call to a target. */
  public OpenCall call(Candidate candidate, MeshCall call, Consumer<MeshResponse> callback) {
    boolean urgent = CallRank.isUrgent(call.rank());
    candidate.callStarted(urgent);
    Consumer<MeshResponse> onResponse =
        response -> {
          candidate.callEnded(urgent);
          if (response.load() != TargetLoad.NONE) {
            candidate.updateLoad(response.load(), time.nanoTime());
          }
          callback.accept(response);
        };
    if (candidate.node().equals(self.key())) {
      TargetGateway.GatewayCall localCall = gateway.submit(call, onResponse);
      return localCall;
    }
    PeerLink link = links.get(candidate.node());
    if (link == null) {
      onResponse.accept(
          MeshResponse.withoutAnswer(Outcome.REFUSED, Reason.UNREACHABLE, 0, TargetLoad.NONE));
      return OpenCall.ENDED;
    }
    OpenCall remote = link.call(call, onResponse);
    return new OpenCall() {
      @Override
      public void cancel() {
        remote.cancel();
        candidate.callEnded(urgent);
      }

      @Override
      public boolean mayHaveRun() {
        return remote.mayHaveRun();
      }
    };
  }

  /** Returns the bytes of response bodies that are not sent to other nodes completely. */
  public int pendingResponseBytes() {
    return inbound.pendingResponseBytes();
  }

  /** Returns the number of nodes that this one is connected to. */
  public int connectedPeerCount() {
    return (int) links.values().stream().filter(PeerLink::isConnected).count();
  }

  /** Returns the lowest key among this node and those it is connected to. */
  public String lowestKey() {
    String lowest = self.key();
    for (PeerLink link : links.values()) {
      if (link.isConnected() && link.node().key().compareTo(lowest) < 0) {
        lowest = link.node().key();
      }
    }
    return lowest;
  }

  /**
   * Returns how many connected nodes of the same failure domain precede this one as readers of the
   * store.
   */
  public int readerRank() {
    return topology().readerRank();
  }

  private PeerTopology topology() {
    List<PeerTopology.Peer> peers = new ArrayList<>();
    for (PeerLink link : links.values()) {
      if (link.isConnected()) {
        NodeRecord node = link.node();
        peers.add(new PeerTopology.Peer(node.key(), node.domain(), link.readsStore()));
      }
    }
    return new PeerTopology(self.key(), self.domain(), peers);
  }

  /** Returns whether this node can read the store, according to its latest read. */
  public boolean readsStore() {
    return readsStore;
  }

  /** Records whether this node can read the store, and notifies the other nodes of a change. */
  public void setReadsStore(boolean value) {
    if (value != readsStore) {
      readsStore = value;
      publishStatus();
    }
  }

  /** Records that the table of nodes has been read, so that peers need not send their lists. */
  public void markNodeTableRead() {
    wantsNodes = false;
  }

  /** Sends a message to one node, if there is a connection. */
  public void send(String key, PeerMessage message) {
    PeerLink link = links.get(key);
    if (link != null) {
      link.send(message);
    }
  }

  /**
   * Sends a message of the shared limits: requests on the connection to the node, replies on the
   * connection from it, on which the request came.
   */
  public void sendLimitMessage(String key, LimitMessage message) {
    PeerMessage sent = new PeerMessage.Limit(message);
    if (message instanceof LimitMessage.Ask || message instanceof LimitMessage.Pull) {
      send(key, sent);
    } else {
      inbound.publish(sent, Set.of(key));
    }
  }

  /** Sends a message to all nodes that are connected to this one. */
  public void publish(PeerMessage message) {
    inbound.publish(message);
  }

  /** Announces new rows to the nodes that this one sends row updates to. */
  public void announceRows() {
    inbound.publish(localStatus(), Set.copyOf(topology().updateRecipients()));
  }

  private void publishStatus() {
    publish(localStatus());
  }

  private PeerMessage.Status localStatus() {
    return new PeerMessage.Status(
        gateway.status(),
        gateway.load(),
        stateExchange.rowVersion(),
        readsStore,
        stateExchange.summary());
  }

  private void onLocalStatusChanged(TargetStatus status) {
    targets.applyStatus(self.key(), self.domain(), status, gateway.load());
    publishStatus();
  }

  private PeerMessage.Hello hello() {
    return new PeerMessage.Hello(
        self,
        stateExchange.rowVersion(),
        wantsNodes,
        time.nanoTime() / 1_000_000,
        true,
        true,
        true,
        stateExchange.summary());
  }

  private void check() {
    long nowNanos = time.nanoTime();
    boolean onTime = nowNanos - lastCheckNanos < MAX_ON_TIME_GAP_NANOS;
    lastCheckNanos = nowNanos;
    links.values().forEach(link -> link.check(onTime));
    inbound.sendLoadToWaitingPeers(CHECK_INTERVAL_MS);
    inbound.requestBodies();
    stateExchange.check();
    updateLimitMembers();
    announceClockStep(nowNanos);
    metrics.setConnectedPeers(connectedPeerCount());
  }

  private void updateLimitMembers() {
    if (limitExchange.hasLimits()) {
      List<String> connected = new ArrayList<>();
      for (PeerLink link : links.values()) {
        if (link.isConnected() && link.sharesLimits()) {
          connected.add(link.node().key());
        }
      }
      limitExchange.setMembers(connected, knowsAllNodes() ? knownNodeCount() : 0);
    }
  }

  /** Returns a random connected node that shares limits, or null if there is none. */
  public @Nullable String randomLimitPeer() {
    String chosen = null;
    int count = 0;
    for (PeerLink link : links.values()) {
      if (link.isConnected() && link.sharesLimits()) {
        count++;
        if (random.getAsDouble() * count < 1) {
          chosen = link.node().key();
        }
      }
    }
    return chosen;
  }

  private boolean knowsAllNodes() {
    return !wantsNodes || (receivedNodeLists > 0 && receivedNodeLists >= links.size());
  }

  // The monotonic clock of a suspended host stands still, so that all its later calls look late to
  // its peers. Another hello makes them measure the transit time anew.
  private void announceClockStep(long nowNanos) {
    long offsetMs = clockOffsetMs(nowNanos);
    if (Math.abs(offsetMs - clockOffsetMs) > MIN_CLOCK_STEP_MS) {
      links.values().forEach(link -> link.send(hello()));
    }
    clockOffsetMs = offsetMs;
  }

  private long clockOffsetMs(long nowNanos) {
    return time.now().toEpochMilli() - nowNanos / 1_000_000;
  }

  /** Messages of this node to a node that connects to it. */
  private final class LocalHandshake implements InboundPeers.Handshake {
    @Override
    public PeerMessage.Hello hello() {
      return PeerNetwork.this.hello();
    }

    @Override
    public PeerMessage.Status status() {
      return localStatus();
    }

    @Override
    public List<PeerMessage> onHello(PeerMessage.Hello hello) {
      addOrUpdateNode(hello.node());
      PeerLink link = links.get(hello.node().key());
      if (link != null) {
        link.reconnectNow();
      }
      List<PeerMessage> responses = new ArrayList<>();
      if (hello.wantsNodes()) {
        responses.add(new PeerMessage.Nodes(links.values().stream().map(PeerLink::node).toList()));
      }
      TargetStatus stopped = targets.stoppedTarget(hello.node().key());
      if (stopped != null) {
        responses.add(new PeerMessage.StoppedTarget(stopped));
      }
      return responses;
    }
  }

  /** Handler of the events of all links. */
  private final class LinkListener implements PeerLink.Listener {
    @Override
    public void onConnected(PeerLink link) {
      link.send(hello());
      log.event("peer_connected", "peer", link.node().key());
    }

    @Override
    public void onDisconnected(PeerLink link, String reason) {
      log.event("peer_lost", "peer", link.node().key(), "reason", reason);
      targets.remove(link.node().key());
      stateExchange.onPeerDisconnected(link.node().key());
    }

    @Override
    public void onSilent(PeerLink link, boolean first) {
      targets.avoid(link.node().key(), time.nanoTime() + AVOID_SILENT_PEER_NANOS);
      if (first) {
        log.event("peer_silent", "peer", link.node().key());
      }
    }

    @Override
    public void onMessage(PeerLink link, PeerMessage message) {
      if (message instanceof PeerMessage.Status status) {
        onStatus(link, status);
      } else if (message instanceof PeerMessage.Hello hello) {
        if (!hello.node().key().equals(link.node().key())) {
          // The address now belongs to another host.
          addOrUpdateNode(hello.node());
        } else {
          link.updateNode(hello.node());
        }
        link.setSharesLimits(hello.sharesLimits());
        stateExchange.onPeerState(link.node().key(), hello.state(), hello.rowVersion());
      } else if (message instanceof PeerMessage.Nodes nodes) {
        nodes.nodes().forEach(PeerNetwork.this::addOrUpdateNode);
        receivedNodeLists++;
        wantsNodes &= receivedNodeLists < SUFFICIENT_NODE_LISTS;
      } else if (message instanceof PeerMessage.StateRows rows) {
        stateExchange.accept(rows);
      } else if (message instanceof PeerMessage.StateDeltas deltas) {
        stateExchange.accept(deltas);
      } else if (message instanceof PeerMessage.StoppedTarget stopped) {
        gateway.restoreStatus(stopped.status());
      } else if (message instanceof PeerMessage.Grants grants) {
        rolloutExchange.accept(grants.grants());
      } else if (message instanceof PeerMessage.Limit limit) {
        limitExchange.accept(link.node().key(), limit.message());
      }
    }

    private void onStatus(PeerLink link, PeerMessage.Status message) {
      link.setReadsStore(message.readsStore());
      TargetStatus status = message.status();
      boolean changed =
          targets.applyStatus(link.node().key(), link.node().domain(), status, message.load());
      if (changed && !status.acceptsCalls()) {
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
      stateExchange.onPeerState(link.node().key(), message.state(), message.rowVersion());
    }
  }
}
