package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;

/** Timer for the pauses between attempts. */
@FunctionalInterface
public interface Delay {

  /** Returns a result that completes after a delay. */
  Uni<Void> ofMillis(long delayMs);
}
