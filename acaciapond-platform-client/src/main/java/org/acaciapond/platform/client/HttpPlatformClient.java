package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.acaciapond.config.version.ConfigCodec;
import org.jspecify.annotations.Nullable;

/** Client of the platform over HTTP. */
public final class HttpPlatformClient implements PlatformClient {

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;

  private final WebClient client;
  private final long timeoutMs;

  /** Creates a client. */
  public HttpPlatformClient(Vertx vertx, String ip, int port, long timeoutMs) {
    this.client =
        WebClient.create(vertx, new WebClientOptions().setDefaultHost(ip).setDefaultPort(port));
    this.timeoutMs = timeoutMs;
  }

  @Override
  public Uni<Optional<Row>> readRow(String key) {
    return send(client.get("/table/" + escape(key)), null)
        .map(
            response -> {
              if (response.statusCode() == NOT_FOUND) {
                return Optional.empty();
              }
              expect(response, OK);
              return Optional.of(new Row(key, revision(response), bytes(response)));
            });
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return send(client.get("/table").addQueryParam("prefix", prefix), null)
        .map(
            response -> {
              expect(response, OK);
              return new JsonArray(response.bodyAsBuffer())
                  .stream().map(item -> toRow((JsonObject) item)).toList();
            });
  }

  private static Row toRow(JsonObject row) {
    return new Row(row.getString("key"), row.getLong("revision"), row.getBinary("value"));
  }

  @Override
  public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
    HttpRequest<Buffer> request = client.put("/table/" + escape(key));
    if (expectedRevision == 0) {
      request.putHeader("If-None-Match", "*");
    } else {
      request.putHeader("If-Match", "\"" + expectedRevision + "\"");
    }
    return send(request, Buffer.buffer(value))
        .map(HttpPlatformClient::toWriteResult)
        .onFailure()
        .recoverWithItem(new WriteResult(WriteResult.Outcome.UNKNOWN, 0));
  }

  private static WriteResult toWriteResult(HttpResponse<Buffer> response) {
    return switch (response.statusCode()) {
      case NO_CONTENT -> new WriteResult(WriteResult.Outcome.APPLIED, revision(response));
      case PRECONDITION_FAILED -> new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0);
      default -> new WriteResult(WriteResult.Outcome.UNKNOWN, 0);
    };
  }

  @Override
  public Uni<Optional<byte[]>> readObject(String digest) {
    return send(client.get("/objects/" + digest), null)
        .map(
            response -> {
              if (response.statusCode() == NOT_FOUND) {
                return Optional.empty();
              }
              expect(response, OK);
              byte[] bytes = bytes(response);
              if (!ConfigCodec.digest(bytes).equals(digest)) {
                throw new PlatformException(
                    PlatformErrorCode.PLATFORM_PROTOCOL, "object " + digest + " is damaged", null);
              }
              return Optional.of(bytes);
            });
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    String digest = ConfigCodec.digest(bytes);
    return send(client.put("/objects/" + digest), Buffer.buffer(bytes))
        .map(
            response -> {
              expect(response, CREATED);
              return digest;
            });
  }

  private Uni<HttpResponse<Buffer>> send(HttpRequest<Buffer> request, @Nullable Buffer body) {
    HttpRequest<Buffer> timed = request.timeout(timeoutMs);
    return Uni.createFrom()
        .completionStage(
            () -> (body == null ? timed.send() : timed.sendBuffer(body)).toCompletionStage())
        .onFailure()
        .transform(
            e -> new PlatformException(PlatformErrorCode.PLATFORM_UNAVAILABLE, "no answer", e));
  }

  private static void expect(HttpResponse<Buffer> response, int status) {
    if (response.statusCode() != status) {
      throw new PlatformException(
          PlatformErrorCode.PLATFORM_UNAVAILABLE, "status " + response.statusCode(), null);
    }
  }

  private static long revision(HttpResponse<Buffer> response) {
    String tag = response.getHeader("ETag");
    if (tag == null) {
      throw new PlatformException(PlatformErrorCode.PLATFORM_PROTOCOL, "no ETag", null);
    }
    return Long.parseLong(tag.replace("\"", ""));
  }

  private static byte[] bytes(HttpResponse<Buffer> response) {
    Buffer body = response.bodyAsBuffer();
    return body == null ? new byte[0] : body.getBytes();
  }

  private static String escape(String key) {
    return URLEncoder.encode(key, StandardCharsets.UTF_8);
  }
}
