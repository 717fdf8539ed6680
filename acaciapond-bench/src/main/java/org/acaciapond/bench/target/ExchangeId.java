package org.acaciapond.bench.target;

import io.vertx.core.http.HttpServerRequest;
import org.acaciapond.node.proxy.MeshHeaders;

/** Exchange id that a target returns to its node, so that the node can reuse the connection. */
public final class ExchangeId {

  private ExchangeId() {}

  /** Adds the exchange id of a request to its response. */
  public static void addToResponse(HttpServerRequest request) {
    String id = request.getHeader(MeshHeaders.EXCHANGE_ID);
    if (id != null) {
      request.response().putHeader(MeshHeaders.EXCHANGE_ID, id);
    }
  }
}
