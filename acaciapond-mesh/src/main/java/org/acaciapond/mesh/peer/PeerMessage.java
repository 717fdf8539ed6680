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
   * First message of each side of a connection.
   *
   * @param node registration record of the sender
   * @param rowVersion highest version of the operator rows at the sender, -1 for none
   * @param wantsNodes whether the sender has not read the table of nodes and requests the nodes
   *     that the receiver knows
   * @param sentMs monotonic time of the sender, 0 if unknown
   * @param acceptsParts whether the sender can read {@link ResponsePart}; nodes of earlier releases
   *     cannot
   * @param acceptsCallParts whether the sender can read {@link CallPart}; nodes of earlier releases
   *     cannot
   */
  record Hello(
      NodeRecord node,
      long rowVersion,
      boolean wantsNodes,
      long sentMs,
      boolean acceptsParts,
      boolean acceptsCallParts)
      implements PeerMessage {

    /** Creates the message of a node that cannot read {@link CallPart}. */
    public Hello(
        NodeRecord node, long rowVersion, boolean wantsNodes, long sentMs, boolean acceptsParts) {
      this(node, rowVersion, wantsNodes, sentMs, acceptsParts, false);
    }
  }

  /**
   * State of the sender's target, sent on change and to show that the connection is alive.
   *
   * @param status status of the target
   * @param load load of the target
   * @param rowVersion highest version of the operator rows at the sender
   * @param readsStore whether the sender can read the store, according to its latest read
   */
  record Status(TargetStatus status, TargetLoad load, long rowVersion, boolean readsStore)
      implements PeerMessage {}

  /**
   * Call to the receiver's target.
   *
   * @param callNumber number of the call on this connection
   * @param call call to execute
   * @param sentMs monotonic time of the sender, 0 if unknown
   */
  record Call(long callNumber, MeshCall call, long sentMs) implements PeerMessage {}

  /**
   * Part of the body of a call, sent before the {@link Call} that contains the rest of the body.
   * Other messages may come between the parts.
   *
   * @param callNumber number of the call on this connection
   * @param bytes next bytes of the body
   */
  record CallPart(long callNumber, byte[] bytes) implements PeerMessage {}

  /**
   * Response to a call.
   *
   * @param callNumber number of the call on this connection
   * @param response response of the receiver
   */
  record Response(long callNumber, MeshResponse response) implements PeerMessage {}

  /**
   * Part of the body of a response, sent before the {@link Response} that contains the rest of the
   * body. Other messages may come between the parts.
   *
   * @param callNumber number of the call on this connection
   * @param bytes next bytes of the body
   */
  record ResponsePart(long callNumber, byte[] bytes) implements PeerMessage {}

  /** Cancellation of a call by its caller. */
  record Cancel(long callNumber) implements PeerMessage {}

  /** Probe of whether the connection is alive. */
  record Ping(long number) implements PeerMessage {}

  /** Response to a ping. */
  record Pong(long number) implements PeerMessage {}

  /**
   * Request for the operator rows that the receiver knows.
   *
   * @param acceptsDeltas whether the sender can read {@link StateDeltas}; nodes of earlier releases
   *     cannot
   * @param held rows that the sender holds
   */
  record StateRequest(boolean acceptsDeltas, List<HeldRow> held) implements PeerMessage {}

  /** Operator rows that are newer than those that the receiver holds. */
  record StateDeltas(List<RowDelta> rows) implements PeerMessage {}

  /**
   * Operator rows that the sender knows.
   *
   * @param rows keys and values as they are stored
   */
  record StateRows(List<StateRow> rows) implements PeerMessage {}

  /** Nodes that the sender knows. */
  record Nodes(List<NodeRecord> nodes) implements PeerMessage {}

  /**
   * Reminder that the receiver's target has announced its shutdown, sent in response to a hello,
   * because a restarted node does not know it.
   *
   * @param status last status of the target that the sender knows
   */
  record StoppedTarget(TargetStatus status) implements PeerMessage {}

  /**
   * Share grants of running rollouts that the sender has issued, and the outcomes of ended ones.
   *
   * @param grants grants, of which an ended rollout's has the end state
   */
  record Grants(List<ShareGrant> grants) implements PeerMessage {}

  /**
   * Calls of the sender to the versions of a service with a running rollout.
   *
   * @param domain failure domain of the sender
   * @param orderNumber number of the rollout order
   * @param counts calls by version and route
   * @param node key of the sender; empty if it is of an earlier release
   * @param total whether these are all calls since the order instead of those since the last report
   */
  record Evidence(
      String domain, long orderNumber, List<RouteCounts> counts, String node, boolean total)
      implements PeerMessage {}

  /** Key and version of an operator row that a node holds. */
  record HeldRow(String key, long rowVersion) {}

  /**
   * Operator row as the difference from an earlier version.
   *
   * @param baseVersion earlier version, 0 for the whole row
   * @param delta difference in the form of {@link StateDelta}
   */
  record RowDelta(String key, long rowVersion, long baseVersion, byte[] delta) {}

  /** Operator row. */
  record StateRow(String key, long rowVersion, byte[] value) {}
}
