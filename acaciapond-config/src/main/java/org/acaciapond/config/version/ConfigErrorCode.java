package org.acaciapond.config.version;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the configuration layer. */
public enum ConfigErrorCode implements ErrorCode {
  /** Content does not match its digest or name. */
  DIGEST_MISMATCH,
  /** A value cannot be encoded as JSON. */
  NOT_ENCODABLE,
  /** Bytes are not a valid JSON encoding of the expected type. */
  NOT_DECODABLE,
  /** The text breaks at least one rule. */
  TEXT_INVALID,
  /** A snapshot lacks a service or version that one of its routes names. */
  SNAPSHOT_DANGLING,
  /** A scope differs from the dependencies of its own service, or a slice is given twice. */
  SCOPE_MISMATCH
}
