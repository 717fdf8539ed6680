package org.acaciapond.sidecar.control;

import io.smallrye.mutiny.Uni;
import org.acaciapond.mesh.target.TargetDeparture;

/** Durable storage of the departures of the local target. */
@FunctionalInterface
public interface DepartureRecorder {

  /** Stores a departure; the result completes once it is durable, however long that takes. */
  Uni<Void> record(TargetDeparture departure);
}
