package org.acaciapond.node.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.acaciapond.membership.Member;
import org.acaciapond.protocol.message.EvidenceMessage;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;

/**
 * Sender of evidence to analyzers. While a connection is being opened, only the first message for
 * it is kept and later ones are dropped.
 */
final class EvidenceSender {

  private final PeerTransport transport;
  private final Consumer<Runnable> loop;
  private final Map<PeerAddress, PeerConnection> connections = new HashMap<>();
  private final Set<PeerAddress> connecting = new HashSet<>();
  private boolean closed;

  /**
   * Creates a sender.
   *
   * @param transport connections to other nodes
   * @param loop runs tasks on the event loop of this sender
   */
  EvidenceSender(PeerTransport transport, Consumer<Runnable> loop) {
    this.transport = transport;
    this.loop = loop;
  }

  void send(Member analyzer, EvidenceMessage message) {
    PeerAddress address = new PeerAddress(analyzer.ip(), analyzer.peerPort());
    PeerConnection connection = connections.get(address);
    if (connection != null) {
      connection.send(message);
    } else if (connecting.add(address)) {
      connect(address, message);
    }
  }

  private void connect(PeerAddress address, EvidenceMessage first) {
    transport
        .connect(address)
        .subscribe()
        .with(
            connection -> loop.accept(() -> onOpen(address, connection, first)),
            error -> loop.accept(() -> connecting.remove(address)));
  }

  private void onOpen(PeerAddress address, PeerConnection connection, EvidenceMessage first) {
    connecting.remove(address);
    if (closed) {
      connection.close();
      return;
    }
    connections.put(address, connection);
    connection.onClose(() -> loop.accept(() -> connections.remove(address, connection)));
    connection.send(first);
  }

  void close() {
    closed = true;
    Map.copyOf(connections).values().forEach(PeerConnection::close);
  }
}
