package org.acaciapond.node.proxy;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the request path; safe for several threads. */
public final class RequestPathCounters {

  final LongAdder calls = new LongAdder();
  final LongAdder retries = new LongAdder();
  final LongAdder retriesDenied = new LongAdder();
  final LongAdder malformedRequests = new LongAdder();
  final LongAdder silentConnections = new LongAdder();
  final LongAdder refusedCallers = new LongAdder();
  final LongAdder refusedLeaving = new LongAdder();
  final LongAdder oversizedBodies = new LongAdder();

  /** Returns the calls that the own target made, without retries. */
  public long calls() {
    return calls.sum();
  }

  /** Returns the retries sent. */
  public long retries() {
    return retries.sum();
  }

  /** Returns the retries that the budget denied. */
  public long retriesDenied() {
    return retriesDenied.sum();
  }

  /** Returns the requests that were not valid HTTP; each closed its connection. */
  public long malformedRequests() {
    return malformedRequests.sum();
  }

  /** Returns the connections to other nodes that were replaced because they went silent. */
  public long silentConnections() {
    return silentConnections.sum();
  }

  /** Returns the calls refused because the caller may not reach the service. */
  public long refusedCallers() {
    return refusedCallers.sum();
  }

  /** Returns the calls refused because this node is leaving. */
  public long refusedLeaving() {
    return refusedLeaving.sum();
  }

  /** Returns the calls refused because of the size of their body. */
  public long oversizedBodies() {
    return oversizedBodies.sum();
  }
}
