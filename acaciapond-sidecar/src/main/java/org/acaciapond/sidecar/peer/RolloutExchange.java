package org.acaciapond.sidecar.peer;

import java.util.List;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.rollout.ShareGrant;

/** What peers tell of moves. */
public interface RolloutExchange {
  /** Returns the grants and ends of moves that this node knows. */
  List<ShareGrant> grants();

  /** A peer told of grants or ends. */
  void accept(List<ShareGrant> grants);

  /** A peer reported what its requests saw. */
  void accept(PeerMessage.Evidence evidence);
}
