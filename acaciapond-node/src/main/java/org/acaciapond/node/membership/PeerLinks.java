package org.acaciapond.node.membership;

import io.vertx.core.Context;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.protocol.message.MembershipMessage;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.acaciapond.protocol.transport.ReconnectBackoff;
import org.jspecify.annotations.Nullable;

/** Pool of the connections for membership messages; all methods run on one context. */
final class PeerLinks {

  /**
   * Idle time before a connection is closed. Probes go to a different member each time, and each
   * open connection costs a liveness check per second.
   */
  private static final long IDLE_TIMEOUT_MS = 2_000;

  private static final int MAX_QUEUED_PACKETS = 64;
  private static final int MAX_LINKS = 4_096;

  /**
   * Limit of the connections opened by this node. Gossip selects receivers at random, so without a
   * limit each change makes every node connect to most others: 160 nodes exhausted 20,000 file
   * descriptors. A connection is closed only after 31 other receivers were written to since.
   */
  private static final int MAX_OUTBOUND_CONNECTIONS = 32;

  private final Context context;
  private final PeerTransport transport;
  private final RandomGenerator random;
  private final MessageHandler handler;
  private final Map<NodeAddress, Link> links = new HashMap<>();
  private long droppedPackets;

  /** Handler of incoming messages. */
  @FunctionalInterface
  interface MessageHandler {

    /** Handles a message received on a connection. */
    void onMessage(PeerConnection connection, Message message);
  }

  private static final class Link {
    final Deque<MembershipPacket> queued = new ArrayDeque<>();
    final ReconnectBackoff backoff;
    @Nullable PeerConnection connection;
    boolean connecting;
    boolean outbound;
    long retryAtMs;
    long lastUsedMs;

    Link(ReconnectBackoff backoff) {
      this.backoff = backoff;
    }
  }

  PeerLinks(
      Context context, PeerTransport transport, RandomGenerator random, MessageHandler handler) {
    this.context = context;
    this.transport = transport;
    this.random = random;
    this.handler = handler;
  }

  /** Sends a packet; opens a connection to the receiver if there is none. */
  void send(NodeAddress to, MembershipPacket packet, long nowMs) {
    Link link = findOrCreateLink(to);
    if (link == null) {
      droppedPackets++;
      return;
    }
    link.lastUsedMs = nowMs;
    PeerConnection connection = link.connection;
    if (connection != null) {
      connection.send(new MembershipMessage(packet));
      return;
    }
    link.queued.add(packet);
    if (link.queued.size() > MAX_QUEUED_PACKETS) {
      link.queued.remove();
      droppedPackets++;
    }
    if (!link.connecting && nowMs >= link.retryAtMs) {
      connect(to, link, nowMs);
    }
  }

  private @Nullable Link findOrCreateLink(NodeAddress address) {
    Link existing = links.get(address);
    if (existing != null || links.size() >= MAX_LINKS) {
      return existing;
    }
    Link created = new Link(new ReconnectBackoff(random));
    links.put(address, created);
    return created;
  }

  private void connect(NodeAddress to, Link link, long nowMs) {
    link.connecting = true;
    transport
        .connect(new PeerAddress(to.ip(), to.port()))
        .subscribe()
        .with(
            connection -> {
              connection.onMessage(message -> handler.onMessage(connection, message));
              context.runOnContext(v -> onConnected(to, link, connection));
            },
            error -> context.runOnContext(v -> onConnectFailed(link, nowMs)));
  }

  private void onConnected(NodeAddress to, Link link, PeerConnection connection) {
    link.connecting = false;
    link.backoff.reset();
    link.outbound = true;
    attach(to, link, connection);
    closeLeastRecentlyUsed();
    link.queued.forEach(packet -> connection.send(new MembershipMessage(packet)));
    link.queued.clear();
  }

  private void attach(NodeAddress to, Link link, PeerConnection connection) {
    link.connection = connection;
    connection.onClose(() -> context.runOnContext(v -> onClosed(to, link, connection)));
  }

  private void onConnectFailed(Link link, long nowMs) {
    link.connecting = false;
    droppedPackets += link.queued.size();
    link.queued.clear();
    link.retryAtMs = nowMs + link.backoff.nextDelayMs();
  }

  private void onClosed(NodeAddress to, Link link, PeerConnection connection) {
    if (link.connection == connection) {
      link.connection = null;
      links.remove(to, link);
    }
  }

  /** Registers an inbound connection for messages to the node that sent a message on it. */
  void registerInbound(NodeAddress from, PeerConnection connection, long nowMs) {
    Link link = findOrCreateLink(from);
    if (link != null && link.connection == null && !link.connecting) {
      link.lastUsedMs = nowMs;
      attach(from, link, connection);
    }
  }

  private void closeLeastRecentlyUsed() {
    List<Map.Entry<NodeAddress, Link>> openOutbound =
        links.entrySet().stream()
            .filter(entry -> entry.getValue().outbound && entry.getValue().connection != null)
            .toList();
    if (openOutbound.size() <= MAX_OUTBOUND_CONNECTIONS) {
      return;
    }
    openOutbound.stream()
        .min(Comparator.comparingLong(entry -> entry.getValue().lastUsedMs))
        .ifPresent(
            oldest -> {
              links.remove(oldest.getKey());
              close(oldest.getValue());
            });
  }

  private static void close(Link link) {
    PeerConnection connection = link.connection;
    link.connection = null;
    if (connection != null && link.outbound) {
      connection.close();
    }
  }

  /**
   * Removes links not used for {@link #IDLE_TIMEOUT_MS} and closes outbound connections among them.
   */
  void closeIdle(long nowMs) {
    Iterator<Link> iterator = links.values().iterator();
    while (iterator.hasNext()) {
      Link link = iterator.next();
      boolean idle = nowMs - link.lastUsedMs >= IDLE_TIMEOUT_MS && nowMs >= link.retryAtMs;
      if (!idle || link.connecting) {
        continue;
      }
      iterator.remove();
      close(link);
    }
  }

  /** Returns the number of packets dropped because no connection was available for them. */
  long droppedPackets() {
    return droppedPackets;
  }
}
