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

/** Connections that membership messages travel on; all methods run on one context. */
final class PeerLinks {

  /** Probes go to ever other members, and each open connection costs a check every second. */
  private static final long UNUSED_MS = 2_000;

  private static final int MAX_WAITING = 64;
  private static final int MAX_LINKS = 4_096;

  /**
   * Connections that this node keeps open itself. Gossip picks receivers at random, so that without
   * a bound each change makes every node connect to most others: 160 nodes used up 20,000 file
   * descriptors. A link is closed only after 31 other receivers have been written to since.
   */
  private static final int MAX_OPENED = 32;

  private final Context context;
  private final PeerTransport transport;
  private final RandomGenerator random;
  private final Receiver receiver;
  private final Map<NodeAddress, Link> links = new HashMap<>();
  private long dropped;

  /** Receiver of the messages that arrive. */
  @FunctionalInterface
  interface Receiver {

    /** Takes a message. */
    void onMessage(PeerConnection connection, Message message);
  }

  private static final class Link {
    final Deque<MembershipPacket> waiting = new ArrayDeque<>();
    final ReconnectBackoff backoff;
    @Nullable PeerConnection connection;
    boolean connecting;
    boolean opened;
    long retryAtMs;
    long usedAtMs;

    Link(ReconnectBackoff backoff) {
      this.backoff = backoff;
    }
  }

  PeerLinks(Context context, PeerTransport transport, RandomGenerator random, Receiver receiver) {
    this.context = context;
    this.transport = transport;
    this.random = random;
    this.receiver = receiver;
  }

  /** Sends a packet, over a new connection when there is none. */
  void send(NodeAddress to, MembershipPacket packet, long nowMs) {
    Link link = link(to);
    if (link == null) {
      dropped++;
      return;
    }
    link.usedAtMs = nowMs;
    PeerConnection connection = link.connection;
    if (connection != null) {
      connection.send(new MembershipMessage(packet));
      return;
    }
    link.waiting.add(packet);
    if (link.waiting.size() > MAX_WAITING) {
      link.waiting.remove();
      dropped++;
    }
    if (!link.connecting && nowMs >= link.retryAtMs) {
      connect(to, link, nowMs);
    }
  }

  private @Nullable Link link(NodeAddress address) {
    Link known = links.get(address);
    if (known != null || links.size() >= MAX_LINKS) {
      return known;
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
              connection.onMessage(message -> receiver.onMessage(connection, message));
              context.runOnContext(v -> onConnected(to, link, connection));
            },
            error -> context.runOnContext(v -> onFailed(link, nowMs)));
  }

  private void onConnected(NodeAddress to, Link link, PeerConnection connection) {
    link.connecting = false;
    link.backoff.reset();
    link.opened = true;
    attach(to, link, connection);
    closeLeastRecentlyUsed();
    link.waiting.forEach(packet -> connection.send(new MembershipMessage(packet)));
    link.waiting.clear();
  }

  private void attach(NodeAddress to, Link link, PeerConnection connection) {
    link.connection = connection;
    connection.onClose(() -> context.runOnContext(v -> onClosed(to, link, connection)));
  }

  private void onFailed(Link link, long nowMs) {
    link.connecting = false;
    dropped += link.waiting.size();
    link.waiting.clear();
    link.retryAtMs = nowMs + link.backoff.nextDelayMs();
  }

  private void onClosed(NodeAddress to, Link link, PeerConnection connection) {
    if (link.connection == connection) {
      link.connection = null;
      links.remove(to, link);
    }
  }

  /** Uses an accepted connection for answers to the node that sent a message on it. */
  void noteAccepted(NodeAddress from, PeerConnection connection, long nowMs) {
    Link link = link(from);
    if (link != null && link.connection == null && !link.connecting) {
      link.usedAtMs = nowMs;
      attach(from, link, connection);
    }
  }

  private void closeLeastRecentlyUsed() {
    List<Map.Entry<NodeAddress, Link>> open =
        links.entrySet().stream()
            .filter(entry -> entry.getValue().opened && entry.getValue().connection != null)
            .toList();
    if (open.size() <= MAX_OPENED) {
      return;
    }
    open.stream()
        .min(Comparator.comparingLong(entry -> entry.getValue().usedAtMs))
        .ifPresent(
            oldest -> {
              links.remove(oldest.getKey());
              close(oldest.getValue());
            });
  }

  private static void close(Link link) {
    PeerConnection connection = link.connection;
    link.connection = null;
    if (connection != null && link.opened) {
      connection.close();
    }
  }

  /** Closes connections opened here that were not used for a time. */
  void closeUnused(long nowMs) {
    Iterator<Link> iterator = links.values().iterator();
    while (iterator.hasNext()) {
      Link link = iterator.next();
      boolean unused = nowMs - link.usedAtMs >= UNUSED_MS && nowMs >= link.retryAtMs;
      if (!unused || link.connecting) {
        continue;
      }
      iterator.remove();
      close(link);
    }
  }

  /** Returns the packets that were dropped because their receiver could not be reached. */
  long dropped() {
    return dropped;
  }
}
