package org.acaciapond.routing.target;

import java.util.List;

/** Read-only view of the announced targets; safe to read from any thread. */
@FunctionalInterface
public interface TargetDirectory {

  /** Returns the announced targets of a service, in no particular order. */
  List<TargetEndpoint> targets(String service);
}
