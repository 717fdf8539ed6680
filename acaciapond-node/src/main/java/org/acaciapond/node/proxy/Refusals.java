package org.acaciapond.node.proxy;

import io.vertx.core.http.HttpServerRequest;

/** Answers of a node that refuses a call. */
final class Refusals {

  private Refusals() {}

  /** Refuses a request with a status and a stated fate. */
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
