package org.acaciapond.bench.converge;

import io.vertx.core.Vertx;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PublishResult;

/** Publisher of consecutive edits, each of which changes one service. */
final class EditPublisher {

  private static final long PUBLISH_TIMEOUT_MS = 2_000;
  private static final long CONVERGE_TIMEOUT_MS = 60_000;

  private final ConfigPublisher configPublisher;
  private final Fleet fleet;
  private final int services;
  private int published;

  EditPublisher(Vertx vertx, int platformPort, Fleet fleet, int services) {
    this.configPublisher =
        new ConfigPublisher(
            new HttpPlatformClient(vertx, Host.IP, platformPort, PUBLISH_TIMEOUT_MS),
            TimeSource.system());
    this.fleet = fleet;
    this.services = services;
  }

  /**
   * Publishes an edit and waits until it is active on all nodes; returns the duration in
   * nanoseconds, measured from just before the edit is published.
   */
  long publishAndAwait() throws InterruptedException {
    String text = SyntheticConfig.toText(services, published + 1);
    final long startNanos = System.nanoTime();
    PublishResult result = configPublisher.publish(text, "bench").await().indefinitely();
    if (result.outcome() != PublishResult.Outcome.ACCEPTED) {
      throw new IllegalStateException(
          "edit " + (published + 1) + " was not accepted: " + result.outcome());
    }
    published++;
    awaitActivation();
    return System.nanoTime() - startNanos;
  }

  /** Waits until the last accepted edit is active on all nodes; throws if that takes too long. */
  void awaitActivation() throws InterruptedException {
    long missingNodes = fleet.awaitSequence(published, CONVERGE_TIMEOUT_MS);
    if (missingNodes > 0) {
      throw new IllegalStateException(
          "edit "
              + published
              + " is not active on "
              + missingNodes
              + " nodes after "
              + CONVERGE_TIMEOUT_MS
              + " ms");
    }
  }

  /** Returns the sequence number of the last accepted edit. */
  long lastSequence() {
    return published;
  }
}
