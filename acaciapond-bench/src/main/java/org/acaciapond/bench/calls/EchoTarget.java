package org.acaciapond.bench.calls;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.LongAdder;
import org.acaciapond.bench.target.ExchangeId;

/** Target that echoes the path and body of each call and counts calls that it received again. */
final class EchoTarget {

  static final String STATS_PATH = "/stats";

  private final Set<String> seenUris = ConcurrentHashMap.newKeySet();
  private final LongAdder duplicates = new LongAdder();

  /** Serves on a loopback port until the process is terminated. */
  static int serve(int port) throws InterruptedException {
    EchoTarget target = new EchoTarget();
    Vertx.vertx()
        .createHttpServer()
        .requestHandler(target::onRequest)
        .listen(port, "127.0.0.1")
        .onFailure(error -> System.exit(1));
    new CountDownLatch(1).await();
    return 0;
  }

  private void onRequest(HttpServerRequest request) {
    if (request.path().equals(STATS_PATH)) {
      request.response().end(new JsonObject().put("duplicates", duplicates.sum()).toBuffer());
      return;
    }
    if (!seenUris.add(request.uri())) {
      duplicates.increment();
    }
    ExchangeId.addToResponse(request);
    request.bodyHandler(body -> request.response().end(responseBody(request.uri(), body)));
  }

  /** Returns the expected response body of a call. */
  static Buffer responseBody(String uri, Buffer body) {
    return Buffer.buffer(uri).appendBuffer(body);
  }
}
