package org.acaciapond.sidecar.peer;

import java.util.List;
import org.acaciapond.mesh.peer.PeerMessage;

/** Exchange of the operator rows with peers. */
public interface StateExchange {
  /** Returns the highest version of the operator rows at this node, -1 for none. */
  long rowVersion();

  /** Returns the operator rows at this node. */
  List<PeerMessage.StateRow> rows();

  /**
   * Handles the announcement of the row version at a peer.
   *
   * @param version highest version of the operator rows at the peer
   * @param requestRows requests the rows of the peer
   */
  void onPeerVersion(long version, Runnable requestRows);

  /**
   * Records that operator rows were sent to a peer.
   *
   * @param bytes length of the message
   */
  void onRowsSent(int bytes);

  /** Applies rows that a peer sent. */
  void accept(List<PeerMessage.StateRow> rows);
}
