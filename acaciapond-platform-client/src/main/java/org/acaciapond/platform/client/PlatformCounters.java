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

  void addResponse(long bytes) {
    receivedBytes.add(bytes);
  }

  /** Returns the number of requests sent, counting each attempt. */
  public long requests() {
    return requests.sum();
  }

  /** Returns the bytes sent, including an estimate of the HTTP headers. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the bytes received, including an estimate of the HTTP headers. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }
}
