package org.acaciapond.protocol.transport;

import java.util.Arrays;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the connections between this node and its peers. */
public final class TransportCounters {

  /** Sent bytes, indexed by the ordinal of the message family. */
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

  /** Returns the number of bytes sent, including framing. */
  public long sentBytes() {
    return Arrays.stream(sentBytes).mapToLong(LongAdder::sum).sum();
  }

  /** Returns the number of bytes sent in messages of a family, including framing. */
  public long sentBytes(MessageFamily family) {
    return sentBytes[family.ordinal()].sum();
  }

  /** Returns the number of bytes received, including framing. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the number of malformed frames, each of which closed its connection. */
  public long malformedFrames() {
    return malformedFrames.sum();
  }

  /** Returns the number of connections closed because the peer did not respond to a check. */
  public long silentConnections() {
    return silentConnections.sum();
  }

  /** Returns the number of connections closed because the peer read too slowly. */
  public long slowPeers() {
    return slowPeers.sum();
  }

  /** Returns the number of connections closed after the idle timeout. */
  public long idleConnections() {
    return idleConnections.sum();
  }
}
