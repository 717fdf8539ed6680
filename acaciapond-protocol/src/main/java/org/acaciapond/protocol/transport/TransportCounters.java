package org.acaciapond.protocol.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the traffic between this node and others. */
public final class TransportCounters {

  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder silentConnections = new LongAdder();
  private final LongAdder slowPeers = new LongAdder();
  private final LongAdder idleConnections = new LongAdder();
  private final LongAdder malformedFrames = new LongAdder();

  void addSilentConnection() {
    silentConnections.increment();
  }

  void addSlowPeer() {
    slowPeers.increment();
  }

  void addIdleConnection() {
    idleConnections.increment();
  }

  void addSentBytes(long count) {
    sentBytes.add(count);
  }

  void addReceivedBytes(long count) {
    receivedBytes.add(count);
  }

  void addMalformedFrame() {
    malformedFrames.increment();
  }

  /** Returns the bytes sent, with framing. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the bytes received, with framing. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the frames that were malformed; each closed its connection. */
  public long malformedFrames() {
    return malformedFrames.sum();
  }

  /** Returns the connections closed because the other side did not answer. */
  public long silentConnections() {
    return silentConnections.sum();
  }

  /** Returns the connections closed because the other side read too slowly. */
  public long slowPeers() {
    return slowPeers.sum();
  }

  /** Returns the connections closed because no message was sent or received for long. */
  public long idleConnections() {
    return idleConnections.sum();
  }
}
