package org.acaciapond.routing.target;

import java.util.List;

/** Lookup of the announced targets of each service; safe to call from any thread. */
@FunctionalInterface
public interface TargetDirectory {

  /** Returns the announced targets of a service, in no particular order. */
  List<TargetEndpoint> targets(String service);
}
