package org.acaciapond.mesh.peer;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the protocol between nodes. */
public enum PeerErrorCode implements ErrorCode {
  /** A message cannot be encoded or decoded. */
  MALFORMED_MESSAGE
}
