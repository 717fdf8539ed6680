package org.acaciapond.rollout.evidence;

import java.util.List;

/**
 * What one witness saw in one interval under one grant.
 *
 * @param witness reporting node
 * @param domain failure domain of the witness
 * @param incarnation start count of the witness; interval numbers restart with it
 * @param interval number of the interval
 * @param grantNumber grant in force at the witness during the interval
 * @param routes counts for each service, version and route that was called
 */
public record EvidenceSummary(
    String witness,
    String domain,
    long incarnation,
    long interval,
    long grantNumber,
    List<RouteCounts> routes) {

  /** Copies the list. */
  public EvidenceSummary {
    routes = List.copyOf(routes);
  }
}
