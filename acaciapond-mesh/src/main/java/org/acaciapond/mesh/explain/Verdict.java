package org.acaciapond.mesh.explain;

/** What becomes of a request before a target is chosen. */
public enum Verdict {
  /** The node has no desired state yet and refuses all requests. */
  NOT_CONFIGURED,
  /** No route has the host and a prefix of the path. */
  NO_ROUTE,
  /** The route needs a key of a client account, and the request carries no valid one. */
  UNAUTHORIZED,
  /** The request goes to a service of its route. */
  ROUTED
}
