package org.acaciapond.common.lifecycle;

import io.smallrye.mutiny.Uni;

/** Component that holds resources from its start until its stop. */
public interface ManagedService {

  /** Acquires the resources; the result fails if the service cannot start. */
  Uni<Void> start();

  /** Releases the resources in an orderly way; safe to call more than once. */
  Uni<Void> stop();
}
