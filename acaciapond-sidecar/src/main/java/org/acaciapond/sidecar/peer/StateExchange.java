package org.acaciapond.sidecar.peer;

import java.util.List;
import org.acaciapond.mesh.peer.PeerMessage;

/** What peers hold and tell of the desired state. */
public interface StateExchange {
  /** Returns the highest version of the operator's rows that this node holds, -1 for none. */
  long rowVersion();

  /** Returns the operator's rows that this node holds. */
  List<PeerMessage.StateRow> rows();

  /** A peer holds rows up to a version; they can be asked for. */
  void peerHolds(long version, Runnable ask);

  /** A peer sent rows. */
  void accept(List<PeerMessage.StateRow> rows);
}
