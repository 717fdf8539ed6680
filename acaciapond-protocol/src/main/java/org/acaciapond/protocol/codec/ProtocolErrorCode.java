package org.acaciapond.protocol.codec;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the protocol layer. */
public enum ProtocolErrorCode implements ErrorCode {
  /** No codec is registered for a message. */
  UNKNOWN_MESSAGE,
  /** A payload is not a valid message, or a message cannot be encoded. */
  MALFORMED_MESSAGE,
  /** A frame is longer than the limit of its message type. */
  FRAME_TOO_LONG,
  /** The peer did not respond to a liveness check in time. */
  PEER_SILENT,
  /** The peer reads more slowly than this node writes. */
  PEER_SLOW,
  /** The key or certificate files cannot be used. */
  TLS_FILES_INVALID,
  /** The connection is closed. */
  CONNECTION_CLOSED,
  /** A connection or a listener cannot be opened. */
  CONNECT_FAILED
}
