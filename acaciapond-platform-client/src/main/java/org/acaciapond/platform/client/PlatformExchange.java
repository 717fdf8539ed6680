package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;

/** Transport that makes one attempt at a request. */
@FunctionalInterface
public interface PlatformExchange {

  /** Sends a request; fails if no response arrives in time, even if the request took effect. */
  Uni<PlatformResponse> send(PlatformRequest request, long timeoutMs);
}
