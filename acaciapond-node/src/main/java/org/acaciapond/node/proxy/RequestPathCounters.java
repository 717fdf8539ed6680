package org.acaciapond.node.proxy;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the request path; safe for concurrent use. */
public final class RequestPathCounters {

  final LongAdder calls = new LongAdder();
  final LongAdder retries = new LongAdder();
  final LongAdder retriesDenied = new LongAdder();
  final LongAdder malformedRequests = new LongAdder();
  final LongAdder silentConnections = new LongAdder();
  final LongAdder refusedCallers = new LongAdder();
  final LongAdder refusedLeaving = new LongAdder();
  final LongAdder oversizedBodies = new LongAdder();
  final LongAdder mismatchedResponses = new LongAdder();
  final LongAdder invalidResponses = new LongAdder();

  /** Returns the number of calls by the local target, without retries. */
  public long calls() {
    return calls.sum();
  }

  /** Returns the number of retries sent. */
  public long retries() {
    return retries.sum();
  }

  /** Returns the number of retries that the budget denied. */
  public long retriesDenied() {
    return retriesDenied.sum();
  }

  /** Returns the number of requests that were not valid HTTP; each closed its connection. */
  public long malformedRequests() {
    return malformedRequests.sum();
  }

  /** Returns the number of unresponsive connections to other nodes that were replaced. */
  public long silentConnections() {
    return silentConnections.sum();
  }

  /** Returns the number of calls refused because the caller may not reach the service. */
  public long refusedCallers() {
    return refusedCallers.sum();
  }

  /** Returns the number of calls refused because this node or its target is leaving. */
  public long refusedLeaving() {
    return refusedLeaving.sum();
  }

  /** Returns the number of calls refused because of the size of their body. */
  public long oversizedBodies() {
    return oversizedBodies.sum();
  }

  /** Returns the number of responses of the target that belonged to another call. */
  public long mismatchedResponses() {
    return mismatchedResponses.sum();
  }

  /** Returns the number of responses of the target that were rejected while they were decoded. */
  public long invalidResponses() {
    return invalidResponses.sum();
  }
}
