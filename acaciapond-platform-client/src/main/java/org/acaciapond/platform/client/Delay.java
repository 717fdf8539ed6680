package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;

/** Source of pauses between attempts. */
@FunctionalInterface
public interface Delay {

  /** Completes after a time. */
  Uni<Void> ofMillis(long delayMs);
}
