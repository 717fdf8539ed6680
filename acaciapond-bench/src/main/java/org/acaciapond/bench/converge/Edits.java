package org.acaciapond.bench.converge;

import io.vertx.core.Vertx;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.platform.client.ConfigPublisher;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.acaciapond.platform.client.PublishResult;

/** Edits in sequence, of which each changes one service. */
final class Edits {

  private static final long PUBLISH_TIMEOUT_MS = 2_000;
  private static final long CONVERGE_TIMEOUT_MS = 60_000;

  private final ConfigPublisher publisher;
  private final Fleet fleet;
  private final int services;
  private int published;

  Edits(Vertx vertx, int platformPort, Fleet fleet, int services) {
    this.publisher =
        new ConfigPublisher(
            new HttpPlatformClient(vertx, Host.IP, platformPort, PUBLISH_TIMEOUT_MS),
            TimeSource.system());
    this.fleet = fleet;
    this.services = services;
  }

  /** Returns the nanoseconds from the call to publish, just before acceptance, to the last node. */
  long publishAndAwait() throws InterruptedException {
    String text = SyntheticConfig.text(services, published + 1);
    final long startNanos = System.nanoTime();
    PublishResult result = publisher.publish(text, "bench").await().indefinitely();
    if (result.outcome() != PublishResult.Outcome.ACCEPTED) {
      throw new IllegalStateException("edit " + (published + 1) + " was " + result.outcome());
    }
    published++;
    awaitInForce();
    return System.nanoTime() - startNanos;
  }

  /** Waits until the last accepted edit is in force on all nodes. */
  void awaitInForce() throws InterruptedException {
    long missing = fleet.awaitSequence(published, CONVERGE_TIMEOUT_MS);
    if (missing > 0) {
      throw new IllegalStateException(
          "edit " + published + " did not reach " + missing + " nodes in time");
    }
  }

  /** Returns the sequence of the last accepted edit. */
  long sequence() {
    return published;
  }
}
