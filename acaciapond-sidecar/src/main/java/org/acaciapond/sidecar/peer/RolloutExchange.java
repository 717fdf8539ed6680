package org.acaciapond.sidecar.peer;

import java.util.List;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.rollout.ShareGrant;

/** Exchange of share grants and evidence with peers. */
public interface RolloutExchange {
  /** Returns the grants that this node has issued, and those of ended rollouts. */
  List<ShareGrant> grants();

  /** Applies grants that a peer sent. */
  void accept(List<ShareGrant> grants);

  /** Applies the call results that a peer reported. */
  void accept(PeerMessage.Evidence evidence);
}
