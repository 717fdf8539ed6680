package org.acaciapond.mesh.call;

import java.util.List;

/**
 * One call as it goes to the node beside a target.
 *
 * @param id id that the client gave the request
 * @param method HTTP method
 * @param uri path and query, unchanged
 * @param headers names and values in turn, without those of one connection
 * @param body whole body
 * @param leftMs time left until the deadline
 * @param objectiveLeftMs time left until the answer loses worth; may be negative
 * @param rank order of admission
 * @param route name of the route
 * @param callerService service beside which the request began
 * @param targetId lifetime that the caller chose
 * @param repeatable whether the request may run more than once
 * @param repeat whether this run counts against the budget of repeats
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
    boolean repeatable,
    boolean repeat) {}
