package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;

/** One attempt at a request. */
@FunctionalInterface
public interface PlatformExchange {

  /** Sends a request; fails when no answer arrives in time, whatever became of the request. */
  Uni<PlatformResponse> send(PlatformRequest request, long timeoutMs);
}
