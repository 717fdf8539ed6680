package org.acaciapond.sidecar.call;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.acaciapond.mesh.explain.CandidateExplanation;
import org.acaciapond.mesh.explain.RequestExplanation;
import org.acaciapond.mesh.explain.ServiceExplanation;
import org.acaciapond.mesh.route.Route;
import org.jspecify.annotations.Nullable;

/** Encoder of explanations. */
final class ExplanationJson {

  private ExplanationJson() {}

  /** Adds the fields of an explanation to an object. */
  static JsonObject addTo(JsonObject json, RequestExplanation explanation) {
    json.put("state_version", explanation.stateVersion())
        .put("verdict", explanation.verdict().name());
    Route route = explanation.route();
    if (route != null) {
      json.put("route", encodeRoute(route));
    }
    if (explanation.account() != null) {
      json.put("account", explanation.account());
    }
    if (explanation.limit().isLimited()) {
      json.put("limit_requests_per_s", explanation.limit().requestsPerS())
          .put("limit_burst", explanation.limit().burst());
    }
    JsonArray services = new JsonArray();
    explanation.services().forEach(service -> services.add(encodeService(service)));
    return json.put("services", services);
  }

  private static JsonObject encodeRoute(Route route) {
    return new JsonObject()
        .put("name", route.name())
        .put("path_prefix", route.pathPrefix())
        .put("kind", route.kind().name())
        .put("priority", route.priority())
        .put("timeout_ms", route.timeoutMs())
        .put("open", route.open());
  }

  private static JsonObject encodeService(ServiceExplanation service) {
    JsonArray candidates = new JsonArray();
    service.candidates().forEach(each -> candidates.add(encodeCandidate(each)));
    return new JsonObject()
        .put("service", service.service())
        .put("weight", service.weight())
        .put("chosen", nodeOf(service.chosen()))
        .put("alternatives", service.alternatives())
        .put("unproven_share_permille", service.unprovenSharePermille())
        .put("chosen_for_unproven", nodeOf(service.chosenForUnproven()))
        .put("candidates", candidates)
        .put("omitted_candidates", service.omittedCandidates());
  }

  private static @Nullable String nodeOf(@Nullable CandidateExplanation chosen) {
    return chosen == null ? null : chosen.node();
  }

  private static JsonObject encodeCandidate(CandidateExplanation candidate) {
    JsonObject json =
        new JsonObject()
            .put("node", candidate.node())
            .put("domain", candidate.domain())
            .put("target", candidate.targetId())
            .put("version", candidate.version())
            .put("phase", candidate.phase().name())
            .put("state", candidate.state().name());
    return Double.isFinite(candidate.cost()) ? json.put("cost", candidate.cost()) : json;
  }
}
