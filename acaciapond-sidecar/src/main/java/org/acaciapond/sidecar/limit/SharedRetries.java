package org.acaciapond.sidecar.limit;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.limit.SharedLimiter;
import org.acaciapond.mesh.limit.SuspensionCheck;
import org.acaciapond.mesh.retry.RetryBudget;
import org.acaciapond.mesh.retry.RetryTransfers;
import org.acaciapond.sidecar.telemetry.NodeMetrics;
import org.jspecify.annotations.Nullable;

/** Retry budget that all nodes share, at one node. */
public final class SharedRetries {

  private final RetryBudget budget;
  private final RetryTransfers transfers;
  private final IntSupplier knownNodes;
  private final TimeSource time;
  private final SuspensionCheck suspension = new SuspensionCheck();

  /**
   * Creates the budget of a node.
   *
   * @param randomNode returns a connected node that shares limits, or null if there is none
   * @param knownNodes returns the number of all nodes
   */
  public SharedRetries(
      RetryBudget budget,
      SharedLimiter.Sender sender,
      Supplier<@Nullable String> randomNode,
      IntSupplier knownNodes,
      NodeMetrics metrics,
      LongSupplier random,
      TimeSource time) {
    this.budget = budget;
    this.knownNodes = knownNodes;
    this.time = time;
    SharedLimiter.Sender counting =
        (node, message) -> {
          metrics.countLimitMessage(message);
          sender.send(node, message);
        };
    this.transfers = new RetryTransfers(budget, counting, randomNode, random.getAsLong());
  }

  /** Counts a request for a service. */
  public void recordRequest(String service) {
    budget.recordRequest(service, time.nanoTime());
  }

  /** Counts a retry that the node cannot prevent. */
  public void recordRetry(String service) {
    budget.recordRetry(service, time.nanoTime());
  }

  /** Counts a retry and returns true if the budget allows it. */
  public boolean tryRetry(String service) {
    return transfers.tryRetry(service, knownNodes.getAsInt(), update());
  }

  /** Handles a message of a peer; returns whether it was about retries. */
  boolean accept(String peer, LimitMessage message) {
    return transfers.receive(peer, message, knownNodes.getAsInt(), update());
  }

  private long update() {
    long nowNanos = time.nanoTime();
    if (suspension.isSuspected(nowNanos, time.now().toEpochMilli())) {
      transfers.discardReceived();
    }
    return nowNanos;
  }
}
