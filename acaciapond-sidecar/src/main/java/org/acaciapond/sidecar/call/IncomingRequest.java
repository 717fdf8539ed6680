package org.acaciapond.sidecar.call;

import java.util.List;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Request that matches a route and may be served.
 *
 * @param exchange request and its connection
 * @param id id that the client gave it
 * @param headers headers that are forwarded to the target
 * @param route route of the request
 * @param limitMs time from its receipt in which it is answered
 * @param clientDeadlineNanos time at which its client gives up
 * @param parent call that runs in the local target and made this request; null for requests of
 *     clients
 * @param account account of the client; null if it has none
 */
record IncomingRequest(
    HttpExchange exchange,
    String id,
    List<String> headers,
    Route route,
    int limitMs,
    long clientDeadlineNanos,
    @Nullable MeshCall parent,
    @Nullable ClientAccount account) {}
