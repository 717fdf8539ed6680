package org.acaciapond.mesh.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.acaciapond.mesh.account.Access;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.account.RateLimit;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.route.RouteTable;
import org.acaciapond.mesh.route.WeightedService;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.SelectionCriteria;
import org.acaciapond.mesh.target.TargetChooser;
import org.acaciapond.mesh.target.TargetPhase;
import org.jspecify.annotations.Nullable;

/**
 * Explainer of where a request of a client would be sent. It asks the classes that decide on
 * requests, with a chooser that adds no random costs, so it takes no number from the random source
 * of the node.
 */
public final class RequestExplainer {

  /** Maximum number of targets in an explanation. */
  public static final int MAX_CANDIDATES = 200;

  // Draws of the version filter that select the unproven version if it gets any share, and the
  // current one.
  private static final double UNPROVEN_DRAW = 0;
  private static final double CURRENT_DRAW = 1;

  private final TargetChooser chooser;
  private final MeshView mesh;

  /** Creates an explainer for the requests that a node receives. */
  public RequestExplainer(String localNode, String localDomain, MeshView mesh) {
    this.chooser = new TargetChooser(localNode, localDomain, () -> 0);
    this.mesh = mesh;
  }

  /**
   * Explains where a request would be sent.
   *
   * @param table routes of the desired state in force; null if there is none
   * @param host Host header
   * @param uri path and query
   * @param key key of a client account; null if the request carries none
   */
  public RequestExplanation explain(
      @Nullable RouteTable table, String host, String uri, @Nullable String key, long nowNanos) {
    if (table == null) {
      return RequestExplanation.notRouted(Verdict.NOT_CONFIGURED, -1, null);
    }
    Route route = table.match(host, uri);
    if (route == null) {
      return RequestExplanation.notRouted(Verdict.NO_ROUTE, table.version(), null);
    }
    Access access = Access.decide(table.state().accounts(), key, !route.open());
    if (!access.granted()) {
      return RequestExplanation.notRouted(Verdict.UNAUTHORIZED, table.version(), route);
    }
    ClientAccount account = access.account();
    List<ServiceExplanation> services = new ArrayList<>();
    int listed = 0;
    for (WeightedService weighted : route.services()) {
      ServiceExplanation service =
          explainService(weighted, route, account, MAX_CANDIDATES - listed, nowNanos);
      services.add(service);
      listed += service.candidates().size();
    }
    return new RequestExplanation(
        Verdict.ROUTED,
        table.version(),
        route,
        account == null ? null : account.name(),
        account == null ? RateLimit.NONE : account.limit(),
        services);
  }

  private ServiceExplanation explainService(
      WeightedService weighted,
      Route route,
      @Nullable ClientAccount account,
      int maxCandidates,
      long nowNanos) {
    String service = weighted.service();
    List<Candidate> candidates = mesh.candidates(service);
    SelectionCriteria criteria = mesh.criteria(route, account, service);
    int unprovenPermille = mesh.unprovenSharePermille(service);
    Predicate<Candidate> current = mesh.versionFilter(service, candidates, CURRENT_DRAW);
    Predicate<Candidate> unproven =
        unprovenPermille > 0
            ? mesh.versionFilter(service, candidates, UNPROVEN_DRAW)
            : candidate -> false;
    Predicate<Candidate> allowed = current.or(unproven);
    double[] costs = chooser.costs(candidates, allowed, criteria, nowNanos);
    List<CandidateExplanation> all = new ArrayList<>();
    for (int i = 0; i < costs.length; i++) {
      all.add(explainCandidate(candidates.get(i), allowed, costs[i], nowNanos));
    }
    CandidateExplanation chosen =
        findChosen(all, candidates, chooser.choose(candidates, current, criteria, nowNanos));
    CandidateExplanation chosenForUnproven =
        findChosen(all, candidates, chooser.choose(candidates, unproven, criteria, nowNanos));
    int alternatives = chosen == null ? 0 : countAlternatives(all, candidates, current, chosen);
    all.sort(
        Comparator.comparing((CandidateExplanation each) -> each != chosen)
            .thenComparing(each -> each != chosenForUnproven)
            .thenComparing(CandidateExplanation::state)
            .thenComparingDouble(CandidateExplanation::cost));
    int listed = Math.min(all.size(), maxCandidates);
    return new ServiceExplanation(
        service,
        weighted.weight(),
        unprovenPermille,
        chosen,
        chosenForUnproven,
        alternatives,
        all.subList(0, listed),
        all.size() - listed);
  }

  private static CandidateExplanation explainCandidate(
      Candidate candidate, Predicate<Candidate> allowed, double cost, long nowNanos) {
    return new CandidateExplanation(
        candidate.node(),
        candidate.domain(),
        candidate.status().id(),
        candidate.status().version(),
        candidate.status().phase(),
        stateOf(candidate, allowed, cost, nowNanos),
        cost);
  }

  private static CandidateState stateOf(
      Candidate candidate, Predicate<Candidate> allowed, double cost, long nowNanos) {
    if (candidate.isEvacuated()) {
      return CandidateState.EVACUATED;
    }
    if (!candidate.acceptsCalls()) {
      return candidate.status().phase() == TargetPhase.READY
          ? CandidateState.NODE_LEAVING
          : CandidateState.NOT_READY;
    }
    if (!allowed.test(candidate)) {
      return CandidateState.OTHER_VERSION;
    }
    if (cost == Double.POSITIVE_INFINITY) {
      return CandidateState.LIKELY_REFUSED;
    }
    return candidate.isAvoided(nowNanos) ? CandidateState.AVOIDED : CandidateState.ELIGIBLE;
  }

  private static @Nullable CandidateExplanation findChosen(
      List<CandidateExplanation> all, List<Candidate> candidates, @Nullable Candidate chosen) {
    return chosen == null ? null : all.get(candidates.indexOf(chosen));
  }

  private static int countAlternatives(
      List<CandidateExplanation> all,
      List<Candidate> candidates,
      Predicate<Candidate> current,
      CandidateExplanation chosen) {
    int count = 0;
    for (int i = 0; i < all.size(); i++) {
      CandidateExplanation each = all.get(i);
      if (each != chosen
          && each.state() == chosen.state()
          && current.test(candidates.get(i))
          && each.cost() - chosen.cost() < TargetChooser.MAX_RANDOM_COST) {
        count++;
      }
    }
    return count;
  }
}
