package org.acaciapond.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.util.concurrent.CompletionException;
import org.acaciapond.cli.command.ExplainQuestion;
import org.acaciapond.cli.command.NodeExplainer;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.jspecify.annotations.Nullable;

/** Client of {@code /explain} at the listeners of nodes for metrics and readiness. */
final class HttpNodeExplainer implements NodeExplainer {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final ObjectMapper mapper = new ObjectMapper();
  private final WebClient client;
  private final long timeoutMs;

  HttpNodeExplainer(Vertx vertx, long timeoutMs) {
    this.client = NodeWebClient.create(vertx);
    this.timeoutMs = timeoutMs;
  }

  @Override
  public ObjectNode explain(String address, ExplainQuestion question, String key) {
    Address node = Address.parse(address);
    HttpRequest<Buffer> request =
        client
            .get(node.port(), node.ip(), "/explain")
            .addQueryParam("host", question.host())
            .addQueryParam("path", question.path())
            .addQueryParam("method", question.method())
            .timeout(timeoutMs);
    if (!key.isEmpty()) {
      request.bearerTokenAuthentication(key);
    }
    try {
      HttpResponse<Buffer> response =
          request.send().toCompletionStage().toCompletableFuture().join();
      if (response.statusCode() == NOT_FOUND) {
        throw unavailable("the node does not serve /explain at this address", null);
      }
      if (response.statusCode() != OK) {
        throw unavailable("status " + response.statusCode(), null);
      }
      if (mapper.readTree(response.bodyAsString()) instanceof ObjectNode answer) {
        return answer;
      }
      throw unavailable("the answer is not an explanation", null);
    } catch (CompletionException e) {
      throw unavailable("no answer", e);
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw unavailable("the answer is not an explanation", e);
    }
  }

  private static CliException unavailable(String message, @Nullable Throwable cause) {
    return new CliException(CliErrorCode.UNAVAILABLE, message, cause);
  }
}
