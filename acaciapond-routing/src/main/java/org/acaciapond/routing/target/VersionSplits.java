package org.acaciapond.routing.target;

import org.acaciapond.config.model.ServiceConfig;

/** Lookup of the current traffic split of each service; safe to call from any thread. */
@FunctionalInterface
public interface VersionSplits {

  /** Returns the current split of a service. */
  VersionSplit splitOf(ServiceConfig service);
}
