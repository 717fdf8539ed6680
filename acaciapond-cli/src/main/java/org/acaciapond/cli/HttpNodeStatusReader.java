package org.acaciapond.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.concurrent.CompletionException;
import org.acaciapond.cli.command.NodeStatusReader;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.config.version.ConfigVersion;

/** Reader of {@code /status} at the admin listeners of nodes. */
final class HttpNodeStatusReader implements NodeStatusReader {

  private static final int OK = 200;

  private final WebClient client;
  private final long timeoutMs;

  HttpNodeStatusReader(Vertx vertx, long timeoutMs) {
    this.client = NodeWebClient.create(vertx);
    this.timeoutMs = timeoutMs;
  }

  @Override
  public ConfigVersion read(String address) {
    Address node = Address.parse(address);
    try {
      HttpResponse<Buffer> response =
          client
              .get(node.port(), node.ip(), "/status")
              .timeout(timeoutMs)
              .send()
              .toCompletionStage()
              .toCompletableFuture()
              .join();
      if (response.statusCode() != OK) {
        throw new CliException(CliErrorCode.UNAVAILABLE, "status " + response.statusCode(), null);
      }
      JsonObject status = response.bodyAsJsonObject();
      return new ConfigVersion(
          status.getLong("epoch"), status.getLong("sequence"), status.getString("digest"));
    } catch (CompletionException e) {
      throw new CliException(CliErrorCode.UNAVAILABLE, "no answer", e);
    } catch (DecodeException
        | ClassCastException
        | NullPointerException
        | IllegalArgumentException e) {
      throw new CliException(CliErrorCode.UNAVAILABLE, "the answer is not a status", e);
    }
  }
}
