package org.acaciapond.sidecar.call;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.acaciapond.http.HttpExchange;
import org.acaciapond.http.HttpMessage;
import org.acaciapond.http.HttpResponse;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.explain.MeshView;
import org.acaciapond.mesh.explain.RequestExplainer;
import org.acaciapond.mesh.explain.RequestExplanation;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.SelectionCriteria;
import org.jspecify.annotations.Nullable;

/**
 * Handler of questions where a request of a client would be sent now. The request itself is not
 * sent and not counted. A key is read from the credentials header only, and neither returned nor
 * logged.
 */
public final class ExplainHandler {

  private static final List<String> JSON_HEADERS = List.of("Content-Type", "application/json");

  private final RequestRouter router;
  private final RequestExplainer explainer;

  /** Creates a handler that explains the decisions of a router. */
  public ExplainHandler(RequestRouter router) {
    this.router = router;
    this.explainer =
        new RequestExplainer(
            router.settings.nodeKey(), router.settings.domain(), new RouterView(router));
  }

  /** Returns the explanation as JSON, or a response with all problems of the question. */
  public HttpResponse respond(HttpExchange exchange) {
    Map<String, String> parameters;
    try {
      parameters =
          HttpMessage.parseQuery(exchange.uri().substring(exchange.uri().indexOf('?') + 1));
    } catch (IllegalArgumentException e) {
      return invalid(List.of("the query is not encoded correctly"));
    }
    String host = parameters.getOrDefault("host", "");
    String path = parameters.getOrDefault("path", "");
    List<String> problems = new ArrayList<>();
    if (host.isEmpty()) {
      problems.add("host is missing");
    }
    if (!path.startsWith("/")) {
      problems.add("path is missing or does not begin with a slash");
    }
    if (!problems.isEmpty()) {
      return invalid(problems);
    }
    RequestExplanation explanation =
        explainer.explain(
            router.desiredState.current(),
            host,
            path,
            router.keyOf(exchange),
            router.time.nanoTime());
    JsonObject json =
        new JsonObject()
            .put("node", router.settings.nodeKey())
            .put("domain", router.settings.domain())
            .put("host", host)
            .put("path", path)
            .put("method", parameters.getOrDefault("method", "GET"));
    return json(200, ExplanationJson.addTo(json, explanation));
  }

  private static HttpResponse invalid(List<String> problems) {
    return json(400, new JsonObject().put("problems", new JsonArray(problems)));
  }

  private static HttpResponse json(int status, JsonObject body) {
    return new HttpResponse(status, JSON_HEADERS, body.toBuffer().getBytes());
  }

  /** What a router knows of the targets. */
  private record RouterView(RequestRouter router) implements MeshView {

    private static final double US_PER_MS = 1e3;

    @Override
    public List<Candidate> candidates(String service) {
      return router.network.candidates(service);
    }

    @Override
    public Predicate<Candidate> versionFilter(
        String service, List<Candidate> candidates, double draw) {
      return router.versions.forRequest(service, candidates, draw);
    }

    @Override
    public int unprovenSharePermille(String service) {
      return router.versions.unprovenSharePermille(service);
    }

    @Override
    public SelectionCriteria criteria(
        Route route, @Nullable ClientAccount account, String service) {
      return router.criteria(
          route,
          service,
          RoutedRequest.rankOfRequest(route, account),
          RequestTimes.objectiveMs(route, route.timeoutMs()) * US_PER_MS,
          route.timeoutMs() * US_PER_MS);
    }
  }
}
