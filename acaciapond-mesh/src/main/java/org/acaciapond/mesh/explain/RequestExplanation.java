package org.acaciapond.mesh.explain;

import java.util.List;
import org.acaciapond.mesh.account.RateLimit;
import org.acaciapond.mesh.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Where a node would send a request now, and why. Contains no key.
 *
 * @param verdict what becomes of the request before a target is chosen
 * @param stateVersion version of the desired state in force; -1 if there is none
 * @param route matched route; null if there is none
 * @param account name of the account that holds the key; null if there is none
 * @param limit limit of the account
 * @param services services of the route; empty unless the request is routed
 */
public record RequestExplanation(
    Verdict verdict,
    long stateVersion,
    @Nullable Route route,
    @Nullable String account,
    RateLimit limit,
    List<ServiceExplanation> services) {

  /** Makes an immutable copy of the list. */
  public RequestExplanation {
    services = List.copyOf(services);
  }

  static RequestExplanation notRouted(Verdict verdict, long stateVersion, @Nullable Route route) {
    return new RequestExplanation(verdict, stateVersion, route, null, RateLimit.NONE, List.of());
  }
}
