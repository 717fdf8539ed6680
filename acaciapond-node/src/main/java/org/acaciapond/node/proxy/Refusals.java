package org.acaciapond.node.proxy;

import io.vertx.core.http.HttpServerRequest;

/** Writer of the responses with which a node refuses calls. */
final class Refusals {

  private Refusals() {}

  /** Refuses a request with a status, the outcome header and a reason. */
  static void refuse(HttpServerRequest request, int status, String outcome, String reason) {
    if (!request.response().headWritten() && !request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader(MeshHeaders.OUTCOME, outcome)
          .end(reason + "\n");
    }
  }
}
