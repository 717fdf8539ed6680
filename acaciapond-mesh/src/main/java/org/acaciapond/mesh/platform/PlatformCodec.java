package org.acaciapond.mesh.platform;

import org.acaciapond.mesh.rollout.RolloutProgress;
import org.acaciapond.mesh.store.StoreRow;
import org.jspecify.annotations.Nullable;

/** Codec between the platform's messages and the project's types; it contains no decisions. */
public interface PlatformCodec {

  /** Returns the names of the call headers. */
  CallHeaders headers();

  /** Returns the id of the request on whose behalf a call was made, or null if there is none. */
  @Nullable String parentId(String callId);

  /**
   * Returns the key of a client account that a value of the credentials header contains, or null if
   * the value has another form.
   */
  @Nullable String decodeKey(String credentials);

  /** Returns the authentication scheme of the credentials header. */
  String keyScheme();

  /** Returns the path of the readiness check. */
  String readyPath();

  /** Decodes a message of a target. */
  TargetMessage decodeTargetMessage(String method, String uri, byte[] body);

  /** Returns the body that acknowledges a message of a target. */
  byte[] acknowledgement();

  /** Decodes a row of the operator. */
  OperatorRow decodeOperatorRow(StoreRow row);

  /** Returns the key of the row that records the progress of the rollout of a service. */
  String rolloutKey(String service);

  /** Encodes the progress of a rollout. */
  byte[] encodeProgress(RolloutProgress progress);

  /** Decodes the progress of a rollout; null if the row cannot be decoded. */
  @Nullable RolloutProgress decodeProgress(StoreRow row);
}
