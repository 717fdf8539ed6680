package org.acaciapond.mesh.route;

/** Kind of the requests of a route, which decides whether they may run more than once. */
public enum RequestKind {
  /** Requests that may run more than once. */
  IDEMPOTENT(true),
  /** Idempotent requests with large responses. */
  DOWNLOAD(true),
  /** Requests that may run at most once. */
  NON_IDEMPOTENT(false),
  /** Requests with large bodies that may run at most once. */
  UPLOAD(false),
  /** Requests of a kind that this release does not know, which therefore run at most once. */
  UNKNOWN(false);

  private final boolean idempotent;

  RequestKind(boolean idempotent) {
    this.idempotent = idempotent;
  }

  /** Returns whether a request may run more than once. */
  public boolean isIdempotent() {
    return idempotent;
  }
}
