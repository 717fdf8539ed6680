package org.acaciapond.platform.client;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the traffic of one client with the platform. */
public final class PlatformCounters {

  private final LongAdder requests = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();

  void addRequest(long bytes) {
    requests.increment();
    sentBytes.add(bytes);
  }

  void addReply(long bytes) {
    receivedBytes.add(bytes);
  }

  /** Returns the requests sent, each attempt counted. */
  public long requests() {
    return requests.sum();
  }

  /** Returns the bytes sent, with an estimate of the HTTP headers. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the bytes received, with an estimate of the HTTP headers. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }
}
