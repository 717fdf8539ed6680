package org.acaciapond.sidecar.peer;

import java.util.Collection;
import org.acaciapond.mesh.limit.LimitMessage;

/** Exchange of the messages of shared limits with peers. */
public interface LimitExchange {
  /** Returns whether there are limits, so that the members are needed. */
  boolean hasLimits();

  /**
   * Replaces the members.
   *
   * @param connected connected nodes that share limits
   * @param nodes number of all nodes, 0 while it is not known
   */
  void setMembers(Collection<String> connected, int nodes);

  /** Handles a message of a peer. */
  void accept(String peer, LimitMessage message);
}
