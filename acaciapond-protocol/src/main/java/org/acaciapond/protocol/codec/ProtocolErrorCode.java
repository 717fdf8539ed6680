package org.acaciapond.protocol.codec;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the protocol layer. */
public enum ProtocolErrorCode implements ErrorCode {
  /** No codec is known for a message. */
  UNKNOWN_MESSAGE,
  /** A payload is not a valid message. */
  MALFORMED_MESSAGE,
  /** A frame is longer than the limit. */
  FRAME_TOO_LONG,
  /** The other side did not answer the liveness check in time. */
  PEER_SILENT,
  /** The other side reads more slowly than this side writes. */
  PEER_SLOW,
  /** Key or certificate files cannot be used. */
  TLS_FILES_INVALID,
  /** The connection is closed. */
  CONNECTION_CLOSED,
  /** The connection could not be made. */
  CONNECT_FAILED
}
