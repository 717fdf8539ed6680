package org.acaciapond.mesh.call;

import java.util.List;

/**
 * Call that a node sends to the node of a target.
 *
 * @param id id that the client gave the request
 * @param method HTTP method
 * @param uri path and query, unchanged
 * @param headers alternating names and values, without hop-by-hop headers
 * @param body complete body
 * @param leftMs time left until the deadline
 * @param objectiveLeftMs time left until the latency objective; may be negative
 * @param rank order of admission
 * @param route name of the route
 * @param callerService service of the node at which the request arrived
 * @param targetId id of the lifetime of the target that the caller selected
 * @param idempotent whether the request may run more than once
 * @param retry whether this call counts against the retry budget
 * @param account name of the client account whose request this is; empty if it has none
 */
public record MeshCall(
    String id,
    String method,
    String uri,
    List<String> headers,
    byte[] body,
    int leftMs,
    int objectiveLeftMs,
    int rank,
    String route,
    String callerService,
    String targetId,
    boolean idempotent,
    boolean retry,
    String account) {

  /** Returns this call for another client account. */
  public MeshCall withAccount(String other) {
    return new MeshCall(
        id,
        method,
        uri,
        headers,
        body,
        leftMs,
        objectiveLeftMs,
        rank,
        route,
        callerService,
        targetId,
        idempotent,
        retry,
        other);
  }

  /** Returns this call with another body. */
  public MeshCall withBody(byte[] other) {
    return new MeshCall(
        id,
        method,
        uri,
        headers,
        other,
        leftMs,
        objectiveLeftMs,
        rank,
        route,
        callerService,
        targetId,
        idempotent,
        retry,
        account);
  }

  /** Returns this call with the times that are left after a transit time. */
  public MeshCall afterTransit(int transitMs) {
    return new MeshCall(
        id,
        method,
        uri,
        headers,
        body,
        leftMs - transitMs,
        objectiveLeftMs - transitMs,
        rank,
        route,
        callerService,
        targetId,
        idempotent,
        retry,
        account);
  }
}
