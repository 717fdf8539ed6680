package org.acaciapond.rollout.evidence;

import java.util.List;

/**
 * Calls that one reporter made in one interval under one grant.
 *
 * @param reporter reporting node
 * @param failureDomain failure domain of the reporter
 * @param incarnation incarnation of the reporter; interval numbers start anew with each
 * @param interval number of the interval
 * @param grantNumber grant in force at the reporter during the interval
 * @param routes counts for each service, version and route that was called
 */
public record EvidenceSummary(
    String reporter,
    String failureDomain,
    long incarnation,
    long interval,
    long grantNumber,
    List<RouteCounts> routes) {

  /** Copies the list of routes. */
  public EvidenceSummary {
    routes = List.copyOf(routes);
  }
}
