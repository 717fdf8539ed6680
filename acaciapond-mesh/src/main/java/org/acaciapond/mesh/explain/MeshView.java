package org.acaciapond.mesh.explain;

import java.util.List;
import java.util.function.Predicate;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.SelectionCriteria;
import org.jspecify.annotations.Nullable;

/** What a node knows at the moment of an explanation; its methods change nothing. */
public interface MeshView {

  /** Returns the known targets of a service. */
  List<Candidate> candidates(String service);

  /** Returns the filter for the versions that a request with a random draw may use. */
  Predicate<Candidate> versionFilter(String service, List<Candidate> candidates, double draw);

  /** Returns the share of a service's requests that a version without proof gets, in permille. */
  int unprovenSharePermille(String service);

  /** Returns the criteria of a request that has just been received. */
  SelectionCriteria criteria(Route route, @Nullable ClientAccount account, String service);
}
