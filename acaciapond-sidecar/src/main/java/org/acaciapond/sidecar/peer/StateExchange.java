package org.acaciapond.sidecar.peer;

import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.peer.StateSummary;
import org.jspecify.annotations.Nullable;

/** Exchange of the operator rows with peers. */
public interface StateExchange {
  /** Returns the highest version of the operator rows at this node, -1 for none. */
  long rowVersion();

  /** Returns the summary of the operator rows at this node. */
  StateSummary summary();

  /** Returns the response to the request of a peer. */
  PeerMessage response(PeerMessage.StateRequest request);

  /**
   * Handles the announcement of the operator rows at a peer.
   *
   * @param peer key of the peer
   * @param state summary of the rows; null if the peer is of an earlier release
   * @param rowVersion highest version of the rows
   */
  void onPeerState(String peer, @Nullable StateSummary state, long rowVersion);

  /** Forgets what a peer announced that is no longer connected. */
  void onPeerDisconnected(String peer);

  /** Called periodically; sends a request that is due. */
  void check();

  /**
   * Records that operator rows were sent to a peer.
   *
   * @param bytes length of the message
   */
  void onRowsSent(int bytes);

  /** Applies whole rows of a peer. */
  void accept(PeerMessage.StateRows rows);

  /** Applies changed rows of a peer. */
  void accept(PeerMessage.StateDeltas deltas);
}
