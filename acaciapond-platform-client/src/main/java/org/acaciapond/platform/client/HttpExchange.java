package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.Map;
import org.acaciapond.http.CheckedClientCodec;

/**
 * Exchange of requests and responses with the platform over HTTP. Each request has a connection of
 * its own: responses carry nothing that names their request, so only the connection shows which
 * request they belong to.
 */
final class HttpExchange implements PlatformExchange {

  /** Estimate of the request line without the path, and of the headers that the client adds. */
  private static final int REQUEST_OVERHEAD_BYTES = 90;

  private static final int STATUS_LINE_BYTES = 19;
  private static final int HEADER_OVERHEAD_BYTES = 4;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long MAX_RETRY_AFTER_SECONDS = 3_600;

  private final WebClient client;
  private final PlatformCounters counters;

  HttpExchange(Vertx vertx, String ip, int port, PlatformCounters counters) {
    this.client = createClient(vertx, ip, port);
    this.counters = counters;
  }

  private static WebClient createClient(Vertx vertx, String ip, int port) {
    WebClientOptions options = new WebClientOptions();
    options.setDefaultHost(ip).setDefaultPort(port).setKeepAlive(false);
    return WebClient.wrap(CheckedClientCodec.createClient(vertx, options), options);
  }

  @Override
  public Uni<PlatformResponse> send(PlatformRequest request, long timeoutMs) {
    return Uni.createFrom()
        .completionStage(() -> sendOnce(request, timeoutMs).toCompletionStage())
        .map(this::toResponse);
  }

  private io.vertx.core.Future<HttpResponse<Buffer>> sendOnce(
      PlatformRequest request, long timeoutMs) {
    HttpRequest<Buffer> http =
        client.request(HttpMethod.valueOf(request.method()), request.path()).timeout(timeoutMs);
    Long expected = request.expectedRevision();
    if (expected != null) {
      if (expected == 0) {
        http.putHeader("If-None-Match", "*");
      } else {
        http.putHeader("If-Match", "\"" + expected + "\"");
      }
    }
    byte[] body = request.body();
    int bodyBytes = body == null ? 0 : body.length;
    counters.addRequest(REQUEST_OVERHEAD_BYTES + request.path().length() + bodyBytes);
    return body == null ? http.send() : http.sendBuffer(Buffer.buffer(body));
  }

  private PlatformResponse toResponse(HttpResponse<Buffer> response) {
    Buffer body = response.bodyAsBuffer();
    byte[] bytes = body == null ? new byte[0] : body.getBytes();
    long headerBytes = STATUS_LINE_BYTES;
    for (Map.Entry<String, String> header : response.headers()) {
      headerBytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
    }
    counters.addResponse(headerBytes + bytes.length);
    long retryAfterSeconds =
        Math.min(parseNumber(response.getHeader("Retry-After")), MAX_RETRY_AFTER_SECONDS);
    return new PlatformResponse(
        response.statusCode(),
        parseNumber(response.getHeader("ETag")),
        retryAfterSeconds * MILLIS_PER_SECOND,
        bytes);
  }

  /** Returns the number in a header, or 0 if the header is absent or is not a number. */
  private static long parseNumber(@org.jspecify.annotations.Nullable String header) {
    if (header == null) {
      return 0;
    }
    try {
      return Long.parseLong(header.replace("\"", ""));
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
