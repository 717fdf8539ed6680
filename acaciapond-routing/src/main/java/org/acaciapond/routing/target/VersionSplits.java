package org.acaciapond.routing.target;

import org.acaciapond.config.model.ServiceConfig;

/** Read-only view of the current traffic shares; safe to read from any thread. */
@FunctionalInterface
public interface VersionSplits {

  /** Returns the split that applies to a service now. */
  VersionSplit splitOf(ServiceConfig service);
}
