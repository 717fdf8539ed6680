package org.acaciapond.mesh.explain;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Selection of a target of one service of a route.
 *
 * @param service name of the service
 * @param weight weight among the services of the route
 * @param unprovenSharePermille share of the requests that a version without proof gets
 * @param chosen target with the lowest cost; null if the request would be refused
 * @param chosenForUnproven target for that share, which is {@code chosen} if the exposure budget
 *     allows no call; null if there is no such share or the request would be refused
 * @param alternatives number of other targets whose cost differs so little that one of them may be
 *     chosen instead
 * @param candidates targets, the chosen ones first
 * @param omittedCandidates number of targets that are not listed
 */
public record ServiceExplanation(
    String service,
    int weight,
    int unprovenSharePermille,
    @Nullable CandidateExplanation chosen,
    @Nullable CandidateExplanation chosenForUnproven,
    int alternatives,
    List<CandidateExplanation> candidates,
    int omittedCandidates) {

  /** Makes an immutable copy of the list. */
  public ServiceExplanation {
    candidates = List.copyOf(candidates);
  }
}
