package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.rollout.RolloutProgress;
import org.acaciapond.mesh.store.StoreRow;
import org.jspecify.annotations.Nullable;

/** Translation between the platform's messages and the project's types; it decides nothing. */
public interface PlatformCodec {

  /** Returns the names of the call headers. */
  CallHeaders headers();

  /** Returns the id of the request that a call with this id was made for, or null. */
  @Nullable String parentId(String callId);

  /** Returns the path of the readiness question. */
  String readyPath();

  /** Decodes a message of a target. */
  TargetMessage decodeTargetMessage(String method, String uri, byte[] body);

  /** Returns the body that acknowledges a message of a target. */
  byte[] acknowledgement();

  /** Decodes a row of the operator. */
  OperatorRow decodeOperatorRow(StoreRow row);

  /** Returns the key of the row that states how far the move of a service is. */
  String moveKey(String service);

  /** Encodes how far a move is. */
  byte[] encodeProgress(RolloutProgress progress);

  /** Decodes how far a move is; null if the row cannot be read. */
  @Nullable RolloutProgress decodeProgress(StoreRow row);
}
