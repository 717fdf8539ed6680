package org.acaciapond.protocol.transport;

import java.util.Arrays;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the traffic between this node and others. */
public final class TransportCounters {

  /** Bytes by the ordinal of the family. */
  private final LongAdder[] sentBytes = new LongAdder[MessageFamily.values().length];

  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder silentConnections = new LongAdder();
  private final LongAdder slowPeers = new LongAdder();
  private final LongAdder idleConnections = new LongAdder();
  private final LongAdder malformedFrames = new LongAdder();

  /** Creates counters at zero. */
  TransportCounters() {
    Arrays.setAll(sentBytes, index -> new LongAdder());
  }

  void addSilentConnection() {
    silentConnections.increment();
  }

  void addSlowPeer() {
    slowPeers.increment();
  }

  void addIdleConnection() {
    idleConnections.increment();
  }

  void addSentBytes(MessageFamily family, long count) {
    sentBytes[family.ordinal()].add(count);
  }

  void addReceivedBytes(long count) {
    receivedBytes.add(count);
  }

  void addMalformedFrame() {
    malformedFrames.increment();
  }

  /** Returns the bytes sent, with framing. */
  public long sentBytes() {
    return Arrays.stream(sentBytes).mapToLong(LongAdder::sum).sum();
  }

  /** Returns the bytes sent in messages of one family, with framing. */
  public long sentBytes(MessageFamily family) {
    return sentBytes[family.ordinal()].sum();
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
