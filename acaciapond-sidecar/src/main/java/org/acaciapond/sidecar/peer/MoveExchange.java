package org.acaciapond.sidecar.peer;

import java.util.List;
import org.acaciapond.mesh.move.MoveGrant;
import org.acaciapond.mesh.peer.PeerMessage;

/** What peers tell of moves. */
public interface MoveExchange {
  /** Returns the grants and ends of moves that this node knows. */
  List<MoveGrant> grants();

  /** A peer told of grants or ends. */
  void accept(List<MoveGrant> grants);

  /** A peer reported what its requests saw. */
  void accept(PeerMessage.Evidence evidence);
}
