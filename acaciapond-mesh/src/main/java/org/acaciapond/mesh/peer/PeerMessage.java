package org.acaciapond.mesh.peer;

import java.util.List;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.rollout.ShareGrant;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetStatus;
import org.acaciapond.rollout.evidence.RouteCounts;

/** Message between two nodes. */
public sealed interface PeerMessage {

  /**
   * First message of each side.
   *
   * @param node the sender
   * @param rowVersion highest version of the operator's rows that the sender holds, -1 for none
   * @param wantsNodes whether the sender has not read the table of nodes and asks for those that
   *     the receiver knows
   */
  record Hello(NodeRecord node, long rowVersion, boolean wantsNodes) implements PeerMessage {}

  /**
   * State of the target beside the sender, on change and as a sign of life.
   *
   * @param rowVersion highest version of the operator's rows that the sender holds
   * @param readsStore whether the store serves the sender, as far as that knows
   */
  record Status(TargetStatus status, TargetLoad load, long rowVersion, boolean readsStore)
      implements PeerMessage {}

  /** Call to the target beside the receiver. */
  record Call(long number, MeshCall call) implements PeerMessage {}

  /** End of a call. */
  record Reply(long number, MeshResponse reply) implements PeerMessage {}

  /** The caller gave a call up. */
  record Cancel(long number) implements PeerMessage {}

  /** Question whether the connection still carries bytes. */
  record Ping(long number) implements PeerMessage {}

  /** Answer to a ping. */
  record Pong(long number) implements PeerMessage {}

  /** Question for the operator's rows that the receiver holds. */
  record StateRequest() implements PeerMessage {}

  /**
   * Operator's rows that the sender holds.
   *
   * @param rows keys and values as they lie in the store
   */
  record StateRows(List<HeldRow> rows) implements PeerMessage {}

  /** Nodes that the sender knows. */
  record Nodes(List<NodeRecord> nodes) implements PeerMessage {}

  /** What the sender remembers of the target beside the receiver: that it announced its leaving. */
  record Recall(TargetStatus status) implements PeerMessage {}

  /** Grants of moves in force at the sender, and moves that have ended. */
  record Moves(List<ShareGrant> grants) implements PeerMessage {}

  /**
   * Calls to versions of a service that moves, as the sender saw them since its last report.
   *
   * @param domain failure domain of the sender
   * @param orderNumber number of the order
   * @param counts calls by version and route
   */
  record Evidence(String domain, long orderNumber, List<RouteCounts> counts)
      implements PeerMessage {}

  /** One row of the operator. */
  record HeldRow(String key, long rowVersion, byte[] value) {}
}
