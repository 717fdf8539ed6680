package org.acaciapond.sidecar.call;

import java.util.List;
import java.util.function.Predicate;
import org.acaciapond.mesh.target.Candidate;

/** Choice of the versions of a service that one request may go to. */
@FunctionalInterface
public interface VersionFilter {

  /**
   * Returns the test that candidates have to pass for one request.
   *
   * @param draw uniform draw from [0, 1) of the request; a repeat passes 1 to get the old version
   */
  Predicate<Candidate> forRequest(String service, List<Candidate> candidates, double draw);
}
