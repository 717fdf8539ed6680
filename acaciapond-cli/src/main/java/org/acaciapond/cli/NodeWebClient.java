package org.acaciapond.cli;

import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import org.acaciapond.http.CheckedClientCodec;

/** Factory of the HTTP clients for the listeners of nodes. */
final class NodeWebClient {

  private NodeWebClient() {}

  /** Creates a client that rejects broken responses. */
  static WebClient create(Vertx vertx) {
    WebClientOptions options = new WebClientOptions();
    return WebClient.wrap(CheckedClientCodec.createClient(vertx, options), options);
  }
}
