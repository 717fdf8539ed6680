package org.acaciapond.sidecar.call;

import java.util.List;
import java.util.function.Predicate;
import org.acaciapond.mesh.target.Candidate;

/** Filter for the versions of a service to which one request may be sent. */
public interface VersionFilter {

  /**
   * Returns the predicate that candidates have to match for one request.
   *
   * @param draw uniform random number from [0, 1) of the request; a retry passes 1, which selects
   *     the old version
   */
  Predicate<Candidate> forRequest(String service, List<Candidate> candidates, double draw);

  /** Returns the share of a service's requests that a version without proof gets, in permille. */
  int unprovenSharePermille(String service);
}
